#include "net.h"
#include "regress.h"
const struct test tests_nodes[] = { { NULL, NULL } };
