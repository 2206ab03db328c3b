#include "regress.h"

const struct test tests_http[] = { { NULL, NULL } };
