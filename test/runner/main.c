/*
 * Runs the scripts under test/script and compares their output with the
 * committed .expected files, and runs the CUnit suites of the other tests.
 */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "kernel/klog.h"
#include "runner/known_red.h"
#include "runner/script.h"
#include "runner/suite.h"

static GPtrArray *script_paths;
static guint next_script;
static bool update;

static char *with_suffix(const char *path, const char *suffix)
{
	return g_strdup_printf("%.*s%s",
			       (int)(strlen(path) - strlen(".script")), path,
			       suffix);
}

static void show_difference(const char *path, const char *got)
{
	char *out = with_suffix(path, ".got");

	g_file_set_contents(out, got, -1, NULL);
	printf("\n    output of %s differs from its .expected file; see %s\n",
	       path, out);
	g_free(out);
}

static bool compare(const char *path, const char *got)
{
	char *expected_path = with_suffix(path, ".expected");
	gchar *expected = NULL;
	bool same;

	if (update)
		g_file_set_contents(expected_path, got, -1, NULL);
	g_file_get_contents(expected_path, &expected, NULL, NULL);
	same = expected && !strcmp(expected, got);
	if (!same)
		show_difference(path, got);
	g_free(expected);
	g_free(expected_path);
	return same;
}

static void check_output(const char *path, const struct world *world)
{
	if (world->violation_count)
		printf("\n    %s: %u violations\n%s", path,
		       world->violation_count, world->output->str);
	CU_ASSERT_EQUAL(world->violation_count, 0);
	CU_ASSERT_TRUE(compare(path, world->output->str));
}

/* A script of an open fault has to show it until its entry is removed. */
static void check_known_red(const char *path, const struct world *world)
{
	printf("\n    known red: %s, %u violations\n", path,
	       world->violation_count);
	if (!world->violation_count)
		printf("    passes now: remove it from KNOWN-RED.txt\n");
	CU_ASSERT_NOT_EQUAL(world->violation_count, 0);
}

/* CUnit passes no argument to a test, but runs the tests in order. */
static void test_script(void)
{
	const char *path = script_paths->pdata[next_script++];
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct world *world = script_run(path, errors);

	for (guint i = 0; i < errors->len; i++)
		printf("\n    %s", (char *)errors->pdata[i]);
	CU_ASSERT_EQUAL(errors->len, 0);
	CU_ASSERT_PTR_NOT_NULL(world);
	if (!world)
		return;
	if (known_red_contains(path))
		check_known_red(path, world);
	else
		check_output(path, world);
	world_free(world);
	g_ptr_array_unref(errors);
}

static gint compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void find_scripts(const char *only)
{
	GDir *dir = g_dir_open(TEST_DIR "/script", 0, NULL);
	const char *name;

	script_paths = g_ptr_array_new_with_free_func(g_free);
	while (dir && (name = g_dir_read_name(dir))) {
		if (g_str_has_suffix(name, ".script") &&
		    (!only || strstr(name, only)))
			g_ptr_array_add(script_paths,
					g_build_filename(TEST_DIR "/script",
							 name, NULL));
	}
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(script_paths, compare_paths);
}

static void add_scripts(void)
{
	CU_pSuite suite = CU_add_suite("scripts", NULL, NULL);

	for (guint i = 0; i < script_paths->len; i++) {
		char *name = g_path_get_basename(script_paths->pdata[i]);

		CU_add_test(suite, name, test_script);
		g_free(name);
	}
}

/*
 * test-runner [--update] [PART]: runs all scripts and suites, or only the
 * scripts whose name contains PART. --update writes the .expected files.
 */
int main(int argc, char **argv)
{
	unsigned int failed_count;
	int at = 1;

	if (at < argc && !strcmp(argv[at], "--update")) {
		update = true;
		at++;
	}
	klog_init("test");
	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	find_scripts(at < argc ? argv[at] : NULL);
	add_scripts();
	if (at >= argc)
		suite_add_all();
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failed_count = CU_get_number_of_failures();
	CU_cleanup_registry();
	g_ptr_array_unref(script_paths);
	return failed_count ? 1 : 0;
}
