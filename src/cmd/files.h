#ifndef CMD_FILES_H
#define CMD_FILES_H

/* Declaration files named on the command line. */

#include "core/decl.h"

/*
 * Reads files from paths (of char *); each is named by its base name. Adds one
 * message for each fault to errors (of char *). Returns the valid files, as
 * struct decl *.
 */
GPtrArray *files_read(const GPtrArray *paths, GPtrArray *errors);

#endif
