#ifndef TABLE_H
#define TABLE_H

/*
 * Short forms for the tables of mh_yaml_read(): a field named as its member
 * (F) or otherwise (FN), one of some words (FENUM), mappings with a table of
 * their own (FTAB).
 */

#define F(st, fld, typ, req, lo, hi)                                           \
	{                                                                      \
		.name = #fld, .type = typ, .offset = offsetof(struct st, fld), \
		.required = req, .min = lo, .max = hi                          \
	}
#define FN(nm, st, fld, typ, req, lo, hi)                                    \
	{                                                                    \
		.name = nm, .type = typ, .offset = offsetof(struct st, fld), \
		.required = req, .min = lo, .max = hi                        \
	}
#define FENUM(nm, st, fld, req, wrds)                                \
	{                                                            \
		.name = nm, .type = MH_F_ENUM,                       \
		.offset = offsetof(struct st, fld), .required = req, \
		.words = wrds                                        \
	}
#define FTAB(nm, st, fld, typ, req, tab)                                     \
	{                                                                    \
		.name = nm, .type = typ, .offset = offsetof(struct st, fld), \
		.required = req, .table = tab                                \
	}
#define FEND                 \
	{                    \
		.name = NULL \
	}
#define TABLE(wht, st, flds, dst)                                       \
	{                                                               \
		.what = wht, .size = sizeof(struct st), .fields = flds, \
		.destroy = (GDestroyNotify)(dst)                        \
	}

#endif
