/**
 * DOC: GError domain.  The codes are enum mh_error; messages name the remedy.
 */

#include "marlhoist.h"

GQuark
mh_error_quark(void)
{
	return g_quark_from_static_string("marlhoist");
}
