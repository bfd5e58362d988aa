#ifndef CODEC_YAML_DOC_H
#define CODEC_YAML_DOC_H

/*
 * Reads YAML mappings into structs that are described by tables of fields. Each
 * error is reported with its file, line and key and with what was expected.
 * Reading continues after an error, so that all errors of a file are reported.
 */

#include <glib.h>
#include <yaml.h>

#include "core/types.h"

enum yaml_field_type {
	YAML_FIELD_NAME,    /* char[]: letters, digits, '.', '_', '-' */
	YAML_FIELD_TEXT,    /* char[]: any text */
	YAML_FIELD_ADDRESS, /* char[]: IP:port */
	YAML_FIELD_U32,
	YAML_FIELD_I32,
	YAML_FIELD_BOOL,
	YAML_FIELD_MSEC,  /* int64_t in microseconds, written in milliseconds */
	YAML_FIELD_TIME,  /* int64_t in microseconds, written as ISO 8601 */
	YAML_FIELD_ENUM,  /* uint32_t or enum: index into enum_values */
	YAML_FIELD_NAMES, /* GPtrArray *: list of names */
	YAML_FIELD_NODE,  /* yaml_node_t *: read by the caller */
};

struct yaml_field {
	const char *key;
	enum yaml_field_type type;
	size_t offset_bytes;
	size_t size_bytes; /* of a char[] */
	bool required;
	int64_t min; /* of integers and milliseconds */
	int64_t max;
	const char *const *enum_values; /* NULL-terminated */
};

struct yaml_reader {
	const char *file;
	yaml_document_t document;
	GPtrArray *errors; /* of char *, not owned */
	bool lenient;	   /* ignore unknown keys */
};

/*
 * Parses one document. Returns its root mapping, or NULL after adding an error.
 * The caller calls yaml_reader_clear() in both cases.
 */
yaml_node_t *yaml_reader_parse(struct yaml_reader *reader, const char *file,
			       const char *text, size_t size_bytes,
			       GPtrArray *errors);
void yaml_reader_clear(struct yaml_reader *reader);

/* Adds "FILE:LINE: KEY: " and the formatted message to the errors. */
void yaml_error(struct yaml_reader *reader, const yaml_node_t *node,
		const char *key, const char *format, ...) G_GNUC_PRINTF(4, 5);

/*
 * Reads a mapping into the struct at target. fields: ends with a NULL key, has
 * at most 64 entries.
 */
void yaml_read_map(struct yaml_reader *reader, yaml_node_t *node,
		   const struct yaml_field *fields, void *target);

/* Line number of a node, starting from 1. */
uint32_t yaml_line(const yaml_node_t *node);

/* Whether a node is an empty plain scalar, such as the value of "key:". */
bool yaml_is_empty(const yaml_node_t *node);

/* Scalar text of a node, or NULL. */
const char *yaml_scalar(const yaml_node_t *node);

#endif
