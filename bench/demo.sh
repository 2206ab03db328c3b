# The main job on stand-ins: both users' requests, each answer printed with
# its stages, times, cost and the rule that decided.  Ends by itself; exit
# status 0 only if every answer was complete and correct.
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/deploy.sh

DP_LLM=2
DP_ENTRIES=2
DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DIR"' EXIT
BAD=0

say() { printf '\n== %s\n' "$1"; }

check() { # WHAT WORD: the last answer must contain the word
	if grep -q "$2" "$DIR/answer"; then
		echo "   right: $1"
	else
		echo "   WRONG: $1"
		BAD=$((BAD + 1))
	fi
}

show() { # the answer's rule, stages and text, a line each
	tr -d '\n' <"$DIR/answer" | sed -e 's/.*\({"answer"\)/\1/' \
	    -e 's/{"attempts":\([0-9]*\),"endpoint_us":\([0-9]*\),"stage":"\([a-z]*\)","units":\([0-9.]*\),"us":\([0-9]*\),"vm":"\([a-z0-9-]*\)"},*/\n   stage=\3 vm=\6 us=\5 endpoint_us=\2 units=\4 attempts=\1/g' \
	    -e 's/"rule":"\([^"]*\)"/\n   rule=\1/' |
	    grep -E '^   (stage|rule)' | sed 's/,"stages.*//'
	sed -n 's/.*"answer":\("[^"]*"\|{[^}]*}\).*/   answer=\1/p' \
	    "$DIR/answer" | cut -c1-160 | tail -1
}

ask() { # ENTRY KEY PATH BODY [HEADER]
	curl -s -m 10 -N -H "Authorization: Bearer $2" -H "${5:-X-None: 1}" \
	    -d "$4" "$1$3" >"$DIR/answer"
}

say "starting stand-ins, side processes and two entries"
dp_start "$DIR/run" 1 examples/declarations.yaml || exit 1
E1=$(echo "$DP_URLS" | awk '{ print $1 }')
E2=$(echo "$DP_URLS" | awk '{ print $2 }')
cat "$DIR/run/apply.out"

say "a party plan, streamed through encode, retrieve, rerank, generate"
REF=00112233445566aa
ask "$E1" party-key /v1/pipelines/party-plan \
    "{\"input\":\"ref:$REF clowns for ten\",\"context\":\"packages and themes\",\"max_tokens\":6,\"stream\":true}"
show
check "six tokens came one by one" '"text":" w5.'"$REF"
check "the whole plan, and its own" "w0.$REF w1.$REF w2.$REF w3.$REF w4.$REF w5.$REF"

say "a booking confirmation, asked twice with one key"
BODY='{"body":{"order":"ref:aabbccddeeff0011"}}'
ask "$E1" party-key /v1/pipelines/confirm-booking "$BODY" \
    "Idempotency-Key: booking-17"
show
check "confirmed" '"confirmed":true'
ask "$E2" party-key /v1/pipelines/confirm-booking "$BODY" \
    "Idempotency-Key: booking-17"
check "the repeat got the stored answer" '"confirmed":true'
curl -s -m 5 "$DP_PLATFORM/ctl/audit" >"$DIR/answer"
check "it ran once" '"confetti/booking-17":1[,}]'

say "a dispatch order, and its outcome looked up at the other entry"
ask "$E2" volt-key /v1/pipelines/dispatch-order \
    '{"body":{"order":"ref:0123456789abcdef"}}' "Idempotency-Key: event-5"
show
check "dispatched" '"confirmed":true'
curl -s -m 5 -H "Authorization: Bearer volt-key" \
    "$E1/v1/outcomes/dispatch-order/event-5" >"$DIR/answer"
check "outcome done" '"outcome":"done"'

say "what is refused"
ask "$E1" stolen-key /v1/pipelines/party-plan '{"input":"x"}'
check "a wrong key" '"status":401'
ask "$E1" party-key /v1/pipelines/party-plan '{"input":"x","max_tokens":128}' \
    "Marl-Deadline-Ms: 200"
check "what cannot end in time, at once" '"outcome":"not-run"'

say "the same over TLS"
openssl req -x509 -newkey rsa:2048 -nodes -days 1 -subj /CN=127.0.0.1 \
    -keyout "$DIR/key.pem" -out "$DIR/cert.pem" 2>/dev/null
# shellcheck disable=SC2046
dp_run entry-tls "$DP_BIN/marlhoistd.bin" $(dp_common entry-tls a) \
    --cert-file "$DIR/cert.pem" --key-file "$DIR/key.pem"
dp_wait_file "$DIR/run/entry-tls.out" ready || exit 1
TLS=https://127.0.0.1:$(dp_port "$DIR/run/entry-tls.out" http)
until curl -s -f -m 1 --cacert "$DIR/cert.pem" -o /dev/null "$TLS/readyz"; do
	sleep 0.1
	N=$((${N:-0} + 1))
	[ $N -gt 100 ] && break
done
sleep 1
curl -s -m 10 --cacert "$DIR/cert.pem" -H "Authorization: Bearer party-key" \
    -d "{\"input\":\"ref:$REF\",\"max_tokens\":2}" \
    "$TLS/v1/pipelines/party-plan" >"$DIR/answer"
check "whole over TLS" "w0.$REF w1.$REF"

say "the operators' tools"
"$DP_BIN/marlctl.bin" --organisation carga-viva --pipeline draft-plan \
    explain examples/declarations.yaml
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" history
"$DP_BIN/marlctl.bin" --secret-file "$DIR/run/secret" \
    state "127.0.0.1:$(dp_port "$DIR/run/entry-0.out" link)" >"$DIR/answer"
check "a state dump" '"generation": 1'

say "a failure domain is evacuated and taken back"
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" evacuate a
sleep 1
for _ in 1 2 3 4; do
	ask "$E1" party-key /v1/pipelines/party-plan \
	    "{\"input\":\"ref:$REF\",\"max_tokens\":2}"
	check "whole from the other domains" "w0.$REF w1.$REF"
	if grep -q '"vm":"[a-z]*-0"' "$DIR/answer"; then
		echo "   WRONG: a call went to domain a"
		BAD=$((BAD + 1))
	fi
done
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" apply examples/declarations.yaml
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" show >"$DIR/answer"
check "a new document leaves it evacuated" 'evacuated: \["a"\]'
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" take-back a
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" show >"$DIR/answer"
if grep -q evacuated "$DIR/answer"; then
	echo "   WRONG: it is still evacuated"
	BAD=$((BAD + 1))
fi
"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" evacuate 'a b' 2>"$DIR/answer" &&
	BAD=$((BAD + 1))
check "no such name" "can't name a failure domain"

say "the users' platform: four entries before a stand-in of it"
if "$DP_BIN/marlsoak.bin" --quiet --seconds 8 --program "$DP_BIN/marlgated" \
    --dir "$DIR/platform"; then
	echo "ok: every answer whole, no promise broken"
else
	BAD=$((BAD + 1))
fi
grep -h -m 1 'ev=batch ' "$DIR"/platform/*.log | head -1
grep -h -m 1 'ev=end .*answered' "$DIR"/platform/*.log | head -1

say "done: $BAD wrong"
[ "$BAD" = 0 ]
