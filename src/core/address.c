#include "core/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool address_parse(const char *text, struct sockaddr_in *to)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	guint64 port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	*to = (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	return inet_pton(AF_INET, ip, &to->sin_addr) == 1;
}

bool address_is_valid(const char *text)
{
	struct sockaddr_in address;

	return address_parse(text, &address) && address.sin_port != 0;
}
