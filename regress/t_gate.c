#include "regress.h"

const struct test tests_gate[] = { { NULL, NULL } };
