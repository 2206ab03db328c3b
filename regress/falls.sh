# A poison request crashes the endpoints that run it, over real processes.
#
# One party plan crashes its encoder, and each that runs it again; its caller
# sends it twenty times, to both entries in turn, beside forty other plans.
# Three crashes identify it; after some more that were in flight the plan is
# refused by its fingerprint, and every other plan is answered, some on a retry.
#
# falls.sh BUILD: prints one line; fails if any answer is wrong.
set -u
cd "$(dirname "$0")/.." || exit 1
DP_BIN=$1
. bench/deploy.sh

DP_LLM=3
DP_ENTRIES=2
ENDS_MOST=6 # three identify it, three more may be in flight
DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DIR"' EXIT

plan() { # ENTRY INPUT: the answer, on one line
	curl -s -m 20 -H "Authorization: Bearer party-key" \
	    -H "Marl-Deadline-Ms: 8000" \
	    -d "{\"input\":\"$2\",\"max_tokens\":4}" \
	    "$1/v1/pipelines/party-plan" | tr -d '\n'
}

asked_again=0
other() { # ENTRY NUMBER: until it is answered, six times at most
	for _try in 1 2 3 4 5 6; do
		case $(plan "$1" "clowns for $2") in
		*'"outcome":"done"'*) return 0 ;;
		*request-held*) echo "falls: plan $2 is held" >&2; return 1 ;;
		esac
		asked_again=$((asked_again + 1))
		sleep 0.4
	done
	echo "falls: plan $2 is never answered" >&2
	return 1
}

dp_start "$DIR/run" 1 examples/declarations.yaml || exit 1
# shellcheck disable=SC2086
set -- $DP_URLS
held=0
for n in $(seq 20); do
	case $(plan "$1" "ends-endpoints") in
	*'"title":"request-held"'*) held=$((held + 1)) ;;
	esac
	other "$1" "$n" || exit 1
	other "$2" "$n more" || exit 1
	set -- "$2" "$1"
done
ends=$(curl -s -m 5 "$DP_PLATFORM/ctl/audit" | tr ',{' '\n\n' |
    sed -n 's/^ *"falls": *\([0-9]*\).*/\1/p' | awk '{n += $1} END {print n}')
if [ "$ends" -lt 3 ] || [ "$ends" -gt $ENDS_MOST ] || [ $held -lt 10 ]; then
	echo "falls: $ends endpoints ended, held $held times of 20" >&2
	exit 1
fi
echo "falls: $ends endpoints ended, held $held times of 20;" \
    "40 others answered, $asked_again asked again"
