#include "net.h"
#include "regress.h"
const struct test tests_fuzz[] = { { NULL, NULL } };
