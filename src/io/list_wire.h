#ifndef IO_LIST_WIRE_H
#define IO_LIST_WIRE_H

/* JSON responses of the platform's instance list. */

#include <glib.h>

#include "core/event.h"

/*
 * Parses {"instances":[{"name","state"}]} into items of struct
 * instance_list_item. Returns NULL if the response is invalid. One invalid item
 * makes the whole list invalid, because an instance that is missing from it
 * would look gone.
 */
GArray *list_response_parse(const void *data, size_t size_bytes);

#endif
