#ifndef TABLE_H
#define TABLE_H

/*
 * Initialisers for the tables of mh_yaml_read().  F: a field with the name of
 * its struct member.  FN: a field with another name.  FENUM: a field whose
 * value is one of a list of words.  FTAB: a mapping, or list of mappings, with
 * a table of its own.  FEND: end of the table.  TABLE: the struct mh_table.
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
