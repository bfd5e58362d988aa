#include "capacity/generate.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "codec/decl_yaml.h"

#define SERVICES_PER_POOL_COUNT 3
#define FIRST_PORT 10000

static void add_pool(GString *text, uint32_t pool, uint32_t member)
{
	g_string_append_printf(text,
			       "- {name: pool%03u, member: member%03u, "
			       "max_unavailable: 1, lend: true, reserve: 4}\n",
			       pool, member);
}

static void add_instance(GString *text, const struct size *size,
			 uint32_t instance)
{
	uint32_t rack = instance / 4;

	g_string_append_printf(text,
			       "- {name: w%03u, address: '127.0.0.1:%u', dc: "
			       "dc%u, rack: dc%u-r%u, pool: pool%03u}\n",
			       instance, FIRST_PORT + instance,
			       rack % size->dc_count, rack % size->dc_count,
			       rack, instance % size->pool_count);
}

static void add_service(GString *text, uint32_t pool, uint32_t member,
			uint32_t number)
{
	static const char *const options[] = {
		"urgency: urgent, idempotent: true, deadline_ms: 2300",
		"urgency: background, idempotent: true, deadline_ms: 30000",
		"urgency: normal, idempotent: false, deadline_ms: 10000",
	};

	g_string_append_printf(text,
			       "- {name: service%03u-%u, member: member%03u, "
			       "pool: pool%03u, path: /pool%03u/%u, %s}\n",
			       pool, number, member, pool, pool, number,
			       options[number % G_N_ELEMENTS(options)]);
}

/* Assigns pools to members, and instances to pools, round-robin. */
static void add_members(GString *text, const struct size *size, uint32_t from,
			uint32_t until)
{
	g_assert(size->pool_count && size->member_count);
	g_string_append(text, "members:\n");
	for (uint32_t m = from; m < until; m++)
		g_string_append_printf(
			text, "- {name: member%03u, weight: 10, quota: 200}\n",
			m);
	g_string_append(text, "pools:\n");
	for (uint32_t m = from; m < until; m++) {
		for (uint32_t p = m; p < size->pool_count;
		     p += size->member_count)
			add_pool(text, p, m);
	}
	g_string_append(text, "instances:\n");
	for (uint32_t i = 0; i < size->instance_count; i++) {
		uint32_t m = i % size->pool_count % size->member_count;

		if (m >= from && m < until)
			add_instance(text, size, i);
	}
	g_string_append(text, "services:\n");
	for (uint32_t m = from; m < until; m++) {
		for (uint32_t p = m; p < size->pool_count;
		     p += size->member_count) {
			for (uint32_t k = 0; k < SERVICES_PER_POOL_COUNT; k++)
				add_service(text, p, m, k);
		}
	}
}

char *generate_member(const struct size *size, uint32_t member)
{
	GString *text = g_string_new(NULL);

	add_members(text, size, member, member + 1);
	return g_string_free(text, FALSE);
}

char *generate_all(const struct size *size)
{
	GString *text = g_string_new(NULL);

	add_members(text, size, 0, size->member_count);
	return g_string_free(text, FALSE);
}

static struct decl *parse(const char *name, const char *text)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct decl *decl = decl_parse(name, text, strlen(text), false, errors);

	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	if (!decl)
		exit(1);
	g_ptr_array_unref(errors);
	return decl;
}

static void unref_decl(gpointer data)
{
	decl_unref(data);
}

GPtrArray *generate_files(const struct size *size)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(unref_decl);

	for (uint32_t i = 0; i < size->member_count; i++) {
		char *text = generate_member(size, i);
		char *name = g_strdup_printf("member%03u.yaml", i);

		g_ptr_array_add(files, parse(name, text));
		g_free(name);
		g_free(text);
	}
	return files;
}

struct decl *generate_wave(const struct size *size)
{
	GString *text = g_string_new("waves:\n- name: all\n  pools: [");
	struct decl *decl;

	for (uint32_t i = 0; i < size->pool_count; i++)
		g_string_append_printf(text, "%spool%03u", i ? ", " : "", i);
	g_string_append(text, "]\n  parallel: 4\n");
	decl = parse("wave.yaml", text->str);
	g_string_free(text, TRUE);
	return decl;
}
