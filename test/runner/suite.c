#include "runner/suite.h"

#include <string.h>

static struct suite *suites;

void suite_register(struct suite *suite)
{
	struct suite **at = &suites;

	while (*at && strcmp((*at)->name, suite->name) < 0)
		at = &(*at)->next;
	suite->next = *at;
	*at = suite;
}

void suite_add_all(void)
{
	for (struct suite *suite = suites; suite; suite = suite->next) {
		CU_pSuite added = CU_add_suite(suite->name, NULL, NULL);

		for (const CU_TestInfo *test = suite->tests; test->pName;
		     test++)
			CU_add_test(added, test->pName, test->pTestFunc);
	}
}
