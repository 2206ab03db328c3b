#include "regress.h"

const struct test tests_mesh[] = { { NULL, NULL } };
