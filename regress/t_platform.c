#include "regress.h"

const struct test tests_platform[] = { { NULL, NULL } };
