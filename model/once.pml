/*
 * The at-most-once protocol of one partition and one key: two side
 * processes, the owners' value in the KV service, calls that are delayed
 * and sent again, refusals, a caller that retries, restarts, handover
 * (cancelled, repeated, delayed) and takeover from a VM that was removed.
 *
 * Three claims: the key runs at most once; a request reported as "not run"
 * never runs; and where the owner reports so for the key, none of its requests
 * has run.  Each -D below takes one guard out of the protocol; the checker must
 * then find a failure.
 *
 *   NO_BOUND      a restarted or taking-over owner runs keys of any time
 *   NO_FREEZE     the owner keeps starting calls during a handover
 *   NO_SERIAL     an acknowledgement of an earlier handover counts
 *   LEASE         an owner that is still listed is taken over
 *   NO_MARK       a refused request is forgotten with its call
 *   NO_PROOF      each refusing process reports "not run" for the key
 */

#define OTHER(v) (1 - (v))
#define REQUESTS 2
#define COPIES 2
#define RESTARTS 1
#define HANDOVERS 2

#define NONE 0
#define STARTED 1
#define REFUSED 2		/* of a call's own record only */

byte kv_owner = 0, kv_inc = 1, kv_epoch = 1;
bool born = false;		/* the key exists: its stamp is in the past */
bool kv_bounded = false;	/* the key is stamped before the bound */

byte inc[2] = { 1, 1 };
byte epoch[2] = { 1, 0 };	/* confirmed as owner in this epoch, 0: not */
bool bounded[2];		/* the ledger's bound lies after the key */
bool row[2];			/* the ledger records the key as started */
byte mark[2];			/* requests up to this one never run here */
bool frozen[2];
bool gone[2];			/* the VM left the list and its process died */
byte serial[2];			/* of the handover last sent */
byte acked[2];			/* the target's incarnation, 0: none */
byte got_epoch[2], got_serial[2];
bool got_row[2];
byte rec1[2], rec2[2];		/* the call's own record, by request */
byte restarts, handovers, runs;
#ifdef LEASE
byte takeovers;
#endif
bool ran1, ran2, told1, told2;

/* side, its incarnation, epoch, request */
chan calls = [REQUESTS * COPIES] of { byte, byte, byte, byte };
/* to, epoch, serial, row */
chan hands = [HANDOVERS] of { byte, byte, byte, bool };
chan acks = [HANDOVERS] of { byte, byte, byte }; /* to, serial, inc */

inline set_rec(v, q, what)
{
	if
	:: q == 1 -> rec1[v] = what
	:: else -> rec2[v] = what
	fi
}

/* Only the owner whose ledger covers the key's whole life can report on it. */
#ifdef NO_PROOF
#define KNOWS(v) true
#else
#define KNOWS(v) (epoch[v] != 0 && !frozen[v] && !row[v] && !bounded[v])
#endif

inline tell(v, q)
{
	assert(!KNOWS(v) || runs == 0);
	set_rec(v, q, REFUSED);
	if
	:: q == 1 -> told1 = true
	:: else -> told2 = true
	fi
}

inline start(v, q)
{
	row[v] = true; runs++;
	set_rec(v, q, STARTED);
	if
	:: q == 1 -> ran1 = true
	:: else -> ran2 = true
	fi
}

inline take_call(v, e, q)
{
	if
	:: (q == 1 && rec1[v] != NONE) || (q == 2 && rec2[v] != NONE) ->
		skip			/* the same call again */
	:: else ->
		if
		:: q <= mark[v] -> tell(v, q)
		:: q > mark[v] && epoch[v] != 0 && e == epoch[v] &&
			!frozen[v] ->
			if
			:: row[v] -> set_rec(v, q, STARTED)
#ifndef NO_BOUND
			:: !row[v] && bounded[v] ->
				set_rec(v, q, STARTED)	/* unknown */
			:: !row[v] && !bounded[v] -> start(v, q)
#else
			:: !row[v] -> start(v, q)
#endif
			fi
		:: else ->
			tell(v, q);
#ifndef NO_MARK
			mark[v] = q
#endif
		fi
	fi
}

inline forget(v)
{
	row[v] = false; frozen[v] = false; acked[v] = 0
}

proctype side(byte v)
{
	byte e, s, i, q;
	bool r;

end:	do
	:: atomic { !gone[v] && calls??[eval(v), eval(inc[v]), e, q] ->
		calls??eval(v), eval(inc[v]), e, q; take_call(v, e, q);
		e = 0; q = 0 }

	/* The refusal was acknowledged: the call's record is removed. */
	:: atomic { rec1[v] == REFUSED -> rec1[v] = NONE }
	:: atomic { rec2[v] == REFUSED -> rec2[v] = NONE }

	/* The table names this incarnation: open the ledger by it. */
	:: atomic { !gone[v] && kv_owner == v && kv_inc == inc[v] &&
		epoch[v] != kv_epoch ->
		if
		:: got_epoch[v] == kv_epoch ->
			row[v] = got_row[v]
		:: else -> row[v] = false
		fi;
		bounded[v] = kv_bounded;
		epoch[v] = kv_epoch;
		frozen[v] = false; acked[v] = 0 }

	/* The table names another owner. */
	:: atomic { !gone[v] && epoch[v] != 0 &&
		!(kv_owner == v && kv_inc == inc[v]) ->
		epoch[v] = 0; forget(v) }

	/* Restart: the memory is lost; reclaim with a bound. */
	:: atomic { !gone[v] && restarts < RESTARTS ->
		restarts++; inc[v]++; epoch[v] = 0; forget(v);
		rec1[v] = NONE; rec2[v] = NONE; mark[v] = 0;
		serial[v] = serial[v] + 4;
		got_epoch[v] = 0; got_serial[v] = 0; got_row[v] = false }
	:: atomic { !gone[v] && kv_owner == v && kv_inc != inc[v] ->
		kv_inc = inc[v]; kv_epoch++; kv_bounded = kv_bounded || born }

	/* Handover: freeze, send the rows, await the acknowledgement, write. */
	:: atomic { !gone[v] && epoch[v] != 0 && !frozen[v] &&
		handovers < HANDOVERS ->
		handovers++;
#ifndef NO_FREEZE
		frozen[v] = true;
#endif
		serial[v]++;
		hands!OTHER(v), epoch[v] + 1, serial[v], row[v] }
	:: atomic { !gone[v] && frozen[v] && acked[v] == 0 ->
		frozen[v] = false }	/* cancelled */
	:: atomic { !gone[v] && acks??[eval(v), s, i] ->
		acks??eval(v), s, i;
		if
#ifdef NO_SERIAL
		:: epoch[v] != 0 && frozen[v] -> acked[v] = i
#else
		:: epoch[v] != 0 && frozen[v] && s == serial[v] ->
			acked[v] = i
#endif
#ifdef NO_FREEZE
		:: epoch[v] != 0 && !frozen[v] -> acked[v] = i
#endif
		:: else -> skip
		fi;
		s = 0; i = 0 }
	:: atomic { !gone[v] && acked[v] != 0 && epoch[v] == kv_epoch &&
		kv_owner == v ->
		kv_owner = OTHER(v); kv_inc = acked[v]; kv_epoch++;
		kv_bounded = bounded[v] }
	:: atomic { !gone[v] && hands??[eval(v), e, s, r] ->
		hands??eval(v), e, s, r;
		if
		:: epoch[v] == 0 && (e > got_epoch[v] ||
			(e == got_epoch[v] && s > got_serial[v])) ->
			got_epoch[v] = e; got_serial[v] = s;
			got_row[v] = r;
			acks!OTHER(v), s, inc[v]
		:: else -> skip
		fi;
		e = 0; s = 0; r = false }

	/* The VM is removed; the other takes over with a bound. */
	:: atomic { !gone[v] && !gone[OTHER(v)] && restarts == 0 ->
		gone[v] = true; rec1[v] = NONE; rec2[v] = NONE }
#ifdef LEASE
	:: atomic { !gone[v] && kv_owner == OTHER(v) && takeovers == 0 ->
		takeovers++;
#else
	:: atomic { !gone[v] && gone[OTHER(v)] && kv_owner == OTHER(v) ->
#endif
		kv_owner = v; kv_inc = inc[v]; kv_epoch++;
		kv_bounded = kv_bounded || born }
	od
}

/* A request goes to one side process, maybe twice over a new link. */
proctype entry()
{
	byte n, to, i, e;

	/* The entry's table may be older than the key. */
	atomic { to = kv_owner; i = kv_inc; e = kv_epoch };
	born = true;
	do
	:: atomic { n < COPIES -> n++; calls!to, i, e, 1 }
	:: n > 0 -> break
	od;
	/* After any answer or none, the caller retries. */
	atomic { n = 0; to = kv_owner; i = kv_inc; e = kv_epoch }
end:	do
	:: atomic { n < COPIES -> n++; calls!to, i, e, 2 }
	od
}

active proctype check()
{
	atomic { run side(0); run side(1); run entry() };
end:	do
	:: assert(runs <= 1 && !(ran1 && told1) && !(ran2 && told2))
	od
}
