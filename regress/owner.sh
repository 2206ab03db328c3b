# A booking's owner dies and is not replaced, over real processes.
#
# Sixty confirmations with callers' own keys are answered.  One of three
# booking side processes is killed; its VM stays listed.  The same keys,
# retried at both entries, must get the stored answer or "unknown": a parent
# whose answer is "not run" books elsewhere and pays twice.
#
# owner.sh BUILD: prints one line; fails if any answer is wrong.
set -u
cd "$(dirname "$0")/.." || exit 1
DP_BIN=$1
. bench/deploy.sh

DP_LLM=1
DP_ENTRIES=2
KEYS=$(seq 60)
DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DIR"' EXIT

confirm() { # ENTRY KEY: the answer, on one line
	curl -s -m 20 -H "Authorization: Bearer party-key" \
	    -H "Idempotency-Key: party-$2" -H "Marl-Deadline-Ms: 8000" \
	    -d '{"body":{"order":"ref:aabbccddeeff0011"}}' \
	    "$1/v1/pipelines/confirm-booking" | tr -d '\n'
}

dp_start "$DIR/run" 1 examples/declarations.yaml || exit 1
# shellcheck disable=SC2086
set -- $DP_URLS
for k in $KEYS; do
	case $(confirm "$1" "$k") in
	*'"outcome":"done"'*) ;;
	*) echo "owner: key $k was not confirmed" >&2; exit 1 ;;
	esac
done
dp_signal book-0 KILL
wait "$(cat "$DIR/run/book-0.pid")" 2>/dev/null
done=0
unknown=0
for k in $KEYS; do
	for entry; do
		answer=$(confirm "$entry" "$k")
		case $answer in
		*'"outcome":"done"'*) done=$((done + 1)) ;;
		*'"lookup":"/v1/outcomes/confirm-booking/party-'"$k"'"'*'"outcome":"unknown"'*)
			unknown=$((unknown + 1)) ;;
		*) echo "owner: key $k at $entry: $answer" >&2; exit 1 ;;
		esac
	done
done
runs=$(curl -s -m 5 "$DP_PLATFORM/ctl/audit" | tr ',{' '\n\n' |
    grep -c '^"confetti/party-[0-9]*":1}*$')
if [ "$runs" != 60 ] || [ $unknown = 0 ]; then
	echo "owner: $runs of 60 keys ran once, $unknown unknown" >&2
	exit 1
fi
echo "owner: 60 keys ran once; asked again: $done done, $unknown unknown"
