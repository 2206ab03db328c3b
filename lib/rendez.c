/**
 * DOC: Rendezvous hashing (highest random weight) over XXH3.
 */

#include "marlhoist.h"

#include <string.h>
#include <xxhash.h>

uint64_t
mh_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t
mh_rendezvous(const char *key, const char *node)
{
	return XXH3_64bits_withSeed(
	    node, strlen(node), XXH3_64bits(key, strlen(key)));
}
