#include "jobs/members.h"

#include <string.h>

struct members {
	GPtrArray *members;  /* of struct member */
	GHashTable *by_name; /* name -> struct member */
	GHashTable *by_key;  /* key -> struct member */
};

struct members *members_new(void)
{
	struct members *members = g_new0(struct members, 1);

	members->members = g_ptr_array_new_with_free_func(g_free);
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	members->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return members;
}

void members_free(struct members *members)
{
	if (!members)
		return;
	g_hash_table_unref(members->by_name);
	g_hash_table_unref(members->by_key);
	g_ptr_array_unref(members->members);
	g_free(members);
}

struct member *members_add(struct members *members, const char *name)
{
	struct member *member;

	if (!*name || strlen(name) >= NAME_SIZE_BYTES ||
	    g_hash_table_contains(members->by_name, name))
		return NULL;
	member = g_new0(struct member, 1);
	g_strlcpy(member->name, name, sizeof(member->name));
	g_ptr_array_add(members->members, member);
	g_hash_table_insert(members->by_name, member->name, member);
	return member;
}

bool members_add_key(struct members *members, struct member *member,
		     const char *key)
{
	const struct member *owner = g_hash_table_lookup(members->by_key, key);

	if (!*key || (owner && owner != member))
		return false;
	g_hash_table_insert(members->by_key, g_strdup(key), member);
	return true;
}

const struct member *members_find(const struct members *members,
				  const char *name)
{
	return members && name ? g_hash_table_lookup(members->by_name, name)
			       : NULL;
}

const struct member *members_of_key(const struct members *members,
				    const char *key)
{
	return members && key ? g_hash_table_lookup(members->by_key, key)
			      : NULL;
}

uint32_t members_count(const struct members *members)
{
	return members ? members->members->len : 0;
}
