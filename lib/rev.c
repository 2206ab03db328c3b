/**
 * DOC: Order of what was read from a store that may be restored from a copy.
 */

#include "mesh.h"

int
mh_rev_cmp(struct mh_rev a, struct mh_rev b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return a.revision < b.revision ? -1 : a.revision > b.revision;
}

struct mh_rev
mh_rev_max(struct mh_rev a, struct mh_rev b)
{
	return mh_rev_cmp(a, b) < 0 ? b : a;
}
