#include "io/token.h"

#include <glib.h>
#include <string.h>

#include "kernel/klog.h"

#define LOG_PREFIX "token"

char *token_read(const char *path)
{
	GError *error = NULL;
	gchar *text;

	if (!g_file_get_contents(path, &text, NULL, &error)) {
		klog_error(LOG_PREFIX, "token file: %s", error->message);
		g_error_free(error);
		return NULL;
	}
	g_strstrip(text);
	if (text[0])
		return text;
	klog_error(LOG_PREFIX, "token file %s is empty", path);
	g_free(text);
	return NULL;
}

bool token_equal(const char *given, const char *token)
{
	size_t given_bytes = strlen(given);
	size_t token_bytes = strlen(token);
	size_t difference = given_bytes ^ token_bytes;

	for (size_t i = 0; i < given_bytes; i++)
		difference |= (unsigned char)given[i] ^
			      (unsigned char)token[i % token_bytes];
	return difference == 0;
}

char *token_relay_mac(const char *token)
{
	return g_compute_hmac_for_string(G_CHECKSUM_SHA256,
					 (const guchar *)token, strlen(token),
					 "relay", -1);
}
