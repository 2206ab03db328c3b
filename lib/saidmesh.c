/**
 * DOC: What endpoints have said of themselves, passed on among entries.
 *
 * An entry that may seldom send to an endpoint would learn late that a limit
 * was named, changed or ended.  So each change is announced over all links, and
 * entries that others may be linked to alone forward it.  A newly linked entry
 * gets all that is in force.
 */

#include "mesh.h"

#include <math.h>
#include <string.h>

#define FRAME_WORDS_MAX 64
#define ID_MAX_BYTES 256
/* An older word says nothing about now. */
#define WORD_MAX_US (600 * MH_US_PER_S)

struct mh_said_mesh {
	struct mh_kern *k;
	struct mh_mesh *m;
	struct mh_fleet *f;
};

/** struct message - a frame of words and where it goes. */
struct message {
	struct mh_said_mesh *s;
	const char *node; /* NULL: all linked entries */
	Mh__Words words;
	Mh__Word word[FRAME_WORDS_MAX];
	Mh__Word *list[FRAME_WORDS_MAX];
};

static void
send_message(struct message *o)
{
	Mh__Frame f = MH__FRAME__INIT;

	if (o->words.n_words == 0)
		return;
	f.body_case = MH__FRAME__BODY_WORDS;
	f.words = &o->words;
	if (o->node == NULL)
		mh_mesh_send_all(o->s->m, &f);
	else
		(void)mh_mesh_send(o->s->m, o->node, &f);
	o->words.n_words = 0;
}

static void
add_word(void *arg, const struct mh_word *w)
{
	struct message *o = arg;
	Mh__Word *m = &o->word[o->words.n_words];

	mh__word__init(m);
	m->endpoint = (char *)(uintptr_t)w->endpoint;
	m->number = w->number;
	m->limit_per_s = w->limit_per_s;
	m->leaving = w->leaving;
	m->age_us = (uint64_t)MAX(mh_now(o->s->k) - w->at_us, 0);
	o->list[o->words.n_words++] = m;
	if (o->words.n_words == FRAME_WORDS_MAX)
		send_message(o);
}

static void
message_init(struct message *o, struct mh_said_mesh *s, const char *node)
{
	memset(o, 0, sizeof(*o));
	o->s = s;
	o->node = node;
	mh__words__init(&o->words);
	o->words.words = o->list;
}

static void
on_word(void *arg, const struct mh_word *w)
{
	struct mh_said_mesh *s = arg;
	struct message o;

	if (w->from != NULL && !mh_mesh_is_relay(s->m))
		return;
	message_init(&o, s, NULL);
	add_word(&o, w);
	send_message(&o);
}

static void
on_up(void *arg, const char *node)
{
	struct mh_said_mesh *s = arg;
	struct message o;

	message_init(&o, s, node);
	mh_fleet_foreach_word(s->f, add_word, &o);
	send_message(&o);
}

static bool
is_valid(const Mh__Word *m)
{
	return *m->endpoint != '\0' && strlen(m->endpoint) <= ID_MAX_BYTES &&
	    m->number != 0 && isfinite(m->limit_per_s) && m->limit_per_s >= 0 &&
	    m->age_us <= WORD_MAX_US;
}

static void
on_words(void *arg, const char *node, const Mh__Frame *f)
{
	struct mh_said_mesh *s = arg;

	for (size_t i = 0; i < f->words->n_words; i++) {
		const Mh__Word *m = f->words->words[i];
		struct mh_word w = { m->endpoint, node, m->number,
			mh_now(s->k) - (int64_t)m->age_us, m->limit_per_s,
			m->leaving };

		if (is_valid(m))
			mh_fleet_hear(s->f, &w);
		else
			mh_count(s->k, "endpoint_words_malformed", 1);
	}
}

struct mh_said_mesh *
mh_said_mesh_create(struct mh_kern *k, struct mh_mesh *m, struct mh_fleet *f)
{
	struct mh_said_mesh *s = g_new0(struct mh_said_mesh, 1);

	s->k = k;
	s->m = m;
	s->f = f;
	mh_mesh_on(m, MH__FRAME__BODY_WORDS, on_words, s);
	mh_mesh_on_up(m, on_up, s);
	mh_fleet_on_word(f, on_word, s);
	return s;
}

void
mh_said_mesh_destroy(struct mh_said_mesh *s)
{
	if (s == NULL)
		return;
	mh_fleet_on_word(s->f, NULL, NULL);
	g_free(s);
}
