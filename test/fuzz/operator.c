/* Bodies of operators' apply requests. */

#include <stdlib.h>

#include "fuzz.h"
#include "io/operator_json.h"

static void ignore_done(void *data, struct apply *apply)
{
	(void)data;
	(void)apply;
}

static void check_answer(json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;

	fuzz_check(text != NULL, "an answer is valid JSON");
	free(text);
	json_decref(json);
}

static void run(const uint8_t *data, size_t size_bytes)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct settings *settings = settings_new();
	struct kernel *kernel = kernel_new(settings, 1, 1);
	struct apply *apply = apply_new(kernel, ignore_done, NULL);
	GBytes *body = g_bytes_new(data, size_bytes);
	bool dry_run = false;

	kernel_set_fleet(kernel, fuzz_fleet_new());
	operator_apply_parse(body, apply, &dry_run, errors);
	if (!errors->len)
		apply_check(apply, errors);
	if (errors->len)
		check_answer(operator_errors_json(errors));
	else if (dry_run)
		check_answer(
			operator_dry_run_json(apply, kernel_fleet(kernel)));
	else
		check_answer(operator_apply_json(apply));
	g_bytes_unref(body);
	apply_free(apply);
	kernel_free(kernel);
	settings_free(settings);
	g_ptr_array_unref(errors);
}

const struct fuzz_target fuzz_target = { .run = run };
