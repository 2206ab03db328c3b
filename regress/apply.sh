# marlctl against a store that lacks a document, loses the answers to writes, or
# goes away halfway, and against other operators.
#
# apply.sh BUILD: prints one line; fails if a declaration is lost, or a message
# is wrong.
set -u
cd "$(dirname "$0")/.." || exit 1
DP_BIN=$1
. bench/deploy.sh

DECL=examples/declarations.yaml
DP_LLM=1
DP_DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DP_DIR"' EXIT

fail() {
	echo "apply: $*" >&2
	exit 1
}

ctl() {
	"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" "$@" 2>&1
}

doc_key() { # the key of the active document
	curl -s -m 5 "$DP_PLATFORM/v1/kv/config/head" |
	    sed 's/.*"Value": *"\([^"]*\)".*/\1/' | base64 -d |
	    sed 's/.*"doc": *"\([^"]*\)".*/\1/'
}

generation() {
	ctl history | sed -n '1s/^generation=\([0-9]*\) .*/\1/p'
}

evacuated() { # the number of evacuated domains
	ctl show | sed -n 's/^evacuated: *\[\(.*\)\]/\1/p' |
	    tr ',' '\n' | grep -c .
}

dp_world
dp_run stand "$DP_BIN/marlstand.bin" -s 1 "$DP_DIR/world.json"
dp_wait_file "$DP_DIR/stand.out" ready || fail "the stand-in did not start"
DP_PLATFORM=http://127.0.0.1:$(sed -n 's/^platform //p' "$DP_DIR/stand.out")
ctl apply $DECL >/dev/null || fail "nothing could be applied"
ctl evacuate east >/dev/null || fail "a domain could not be evacuated"

# A document that can't be read is not written over, nor is its evacuation.
doc=$(doc_key)
curl -s -m 5 "$DP_PLATFORM/v1/kv/$doc" |
    sed 's/.*"Value": *"\([^"]*\)".*/\1/' | base64 -d >"$DP_DIR/doc"
curl -s -m 5 -X DELETE "$DP_PLATFORM/v1/kv/$doc" >/dev/null
for try in "apply $DECL" "evacuate west" "take-back east"; do
	# shellcheck disable=SC2086
	out=$(ctl $try) && fail "$try went on without the document: $out"
	case $out in
	*"$doc"*) ;;
	*) fail "$try doesn't name the key that is missing: $out" ;;
	esac
	[ "$(generation)" = 2 ] || fail "$try wrote over generation 2"
done
ctl history | grep -q 'generation=2 ' || fail "no history without the document"
out=$(ctl --replace-lost apply $DECL) &&
    fail "replaced a lost document without a list of evacuated domains: $out"
{ cat $DECL; echo 'evacuated: [east]'; } >"$DP_DIR/listed.yaml"
ctl --replace-lost apply "$DP_DIR/listed.yaml" >/dev/null ||
    fail "a lost document could not be replaced"
[ "$(generation)" = 3 ] || fail "the generation did not grow"
[ "$(evacuated)" = 1 ] || fail "the replacement lost an evacuation"
curl -s -m 5 -X DELETE "$DP_PLATFORM/v1/kv/$(doc_key)" >/dev/null
curl -s -m 5 -X PUT --data-binary @"$DP_DIR/doc" \
    "$DP_PLATFORM/v1/kv/$(doc_key)" >/dev/null
ctl apply $DECL >/dev/null || fail "no apply after the key was restored"
[ "$(evacuated)" = 1 ] || fail "an apply lost an evacuation"

# Answers to writes are lost: each takes effect once.
dp_ctl /ctl/platform '{"lose_answers":1.0}' >/dev/null
was=$(generation)
ctl apply $DECL >/dev/null || fail "not applied where answers are lost"
ctl evacuate west >/dev/null || fail "not evacuated where answers are lost"
[ "$(generation)" = $((was + 2)) ] ||
    fail "$(($(generation) - was)) generations of 2"
[ "$(evacuated)" = 2 ] || fail "an evacuation was lost with its answer"

# The store goes away after the write: its result is not known.
writes() {
	dp_ctl /ctl/platform '{}' | sed 's/.*"writes": *\([0-9]*\).*/\1/'
}
dp_ctl /ctl/platform '{"delay_ms":1500}' >/dev/null
was=$(writes)
ctl apply $DECL >"$DP_DIR/out" &
pid=$!
_n=0
while [ "$(writes)" -lt $((was + 2)) ] && [ $_n -lt 400 ]; do
	_n=$((_n + 1))
	sleep 0.05
done
dp_ctl /ctl/platform '{"down":true}' >/dev/null
wait $pid && fail "applied without an answer: $(cat "$DP_DIR/out")"
grep -q unchanged "$DP_DIR/out" && fail "wrong: $(cat "$DP_DIR/out")"
grep -q 'not known' "$DP_DIR/out" || fail "unclear: $(cat "$DP_DIR/out")"
dp_ctl /ctl/platform '{"down":false,"delay_ms":2,"lose_answers":0}' >/dev/null
id=$(sed -n 's/.*write_id=\([0-9a-f]*\).*/\1/p' "$DP_DIR/out")
ctl history | grep -q "write_id=$id" || fail "its write id is not in the history"

# Eight operators at once: each change that was confirmed is in force.
ctl apply $DECL >/dev/null || fail "no apply when the store is back"
was=$(evacuated)
pids=
for d in a b c d e f g h; do
	ctl evacuate zone-$d >"$DP_DIR/$d" &
	pids="$pids $!"
done
done=0
for pid in $pids; do
	wait "$pid" && done=$((done + 1))
done
[ "$(evacuated)" = $((was + done)) ] ||
    fail "$done evacuations confirmed, $(($(evacuated) - was)) in force"
echo "apply: nothing was lost or applied twice, $done of 8 at once"
