#ifndef CORE_ADDRESS_H
#define CORE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Parses "IP:port" with an IPv4 address and a decimal port from 0 to 65535.
 * Returns false, and leaves to undefined, if the text is anything else.
 */
bool address_parse(const char *text, struct sockaddr_in *to);

/* Whether the text is an address that can be connected to: its port isn't 0. */
bool address_is_valid(const char *text);

#endif
