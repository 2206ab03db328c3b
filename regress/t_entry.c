#include "net.h"
#include "regress.h"
const struct test tests_entry[] = { { NULL, NULL } };
