#ifndef RUNNER_SUITE_H
#define RUNNER_SUITE_H

/* CUnit suites; each test file registers its own before main() runs. */

#include <CUnit/CUnit.h>
#include <stdint.h>

struct suite {
	const char *name;
	const CU_TestInfo *tests; /* ends with CU_TEST_INFO_NULL */
	struct suite *next;
};

void suite_register(struct suite *suite);

/* Adds all registered suites to CUnit, in order of name. */
void suite_add_all(void);

#define SUITE_REGISTER(suite)                                                  \
	static void __attribute__((constructor)) suite##_register(void)        \
	{                                                                      \
		suite_register(&(suite));                                      \
	}

#endif
