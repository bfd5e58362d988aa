#ifndef CODEC_DECL_YAML_H
#define CODEC_DECL_YAML_H

/* Declaration files in YAML. */

#include "core/decl.h"

/*
 * Parses one file. name: of the file, also used in error messages. lenient:
 * ignore unknown keys, for files that a newer version has accepted. On errors,
 * returns NULL and adds one message for each to errors (of char *).
 */
struct decl *decl_parse(const char *name, const char *text, size_t size_bytes,
			bool lenient, GPtrArray *errors);

#endif
