#ifndef IO_LIST_WIRE_H
#define IO_LIST_WIRE_H

/* The answers of the platform's list. */

#include <glib.h>

#include "core/event.h"

/*
 * Reads {"instances":[{"name","state"}]} into items of struct list_item.
 * Returns NULL if the answer is invalid. A list with one invalid item is
 * refused as a whole: an instance that is missing from it looks gone.
 */
GArray *list_answer_parse(const void *data, size_t size_bytes);

#endif
