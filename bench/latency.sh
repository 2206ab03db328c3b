# Measures the latency that a hop adds, the load that one entry can serve and
# the memory of a process; prints "latency NAME VALUE UNIT".  The stand-ins are
# fast, so that the latency of the hops is visible.
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/deploy.sh
DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DIR"' EXIT
DP_LLM=4

dp_world() { # endpoints much faster than those of bench.sh
	DP_SEP=
	printf '{"endpoints":[' >"$DP_DIR/world.json"
	for _i in 0 1 2 3; do
		dp_endpoint llm-$_i generate "$(dp_domain $_i)" \
		    ',"delay_us":0,"workers":64,"step_us":4000,"per_seq_us":0,"prefill_per_s":10000000,"cache_blocks":9000'
	done
	for _i in 0 1 2; do
		_d=$(dp_domain $_i)
		for _k in "enc encode" "ret retrieve" "rer rerank" "book service"; do
			# shellcheck disable=SC2086
			set -- $_k
			dp_endpoint $1-$_i $2 "$_d" ',"delay_us":0,"service_us":800,"workers":64'
		done
	done
	for _i in 0 1 2 3; do
		dp_endpoint gate-$_i service "$(dp_domain $_i)" \
		    ',"delay_us":0,"service_us":800,"workers":64'
	done
	printf ']}\n' >>"$DP_DIR/world.json"
}

cpu_ms() { # NAME: processor time so far
	awk -v hz="$(getconf CLK_TCK)" '{ printf "%d\n", ($14 + $15) * 1000 / hz }' \
	    "/proc/$(cat "$DP_DIR/$1.pid")/stat"
}

rss_kb() { awk '/^RssAnon/ { print $2 }' "/proc/$(cat "$DP_DIR/$1.pid")/status"; }

load() { # FILE ARGS...
	_file=$1
	shift
	"$DP_BIN/marlload.bin" --entry "$(echo "$DP_URLS" | awk '{ print $1 }')" \
	    --audit "$DP_PLATFORM" "$@" >"$_file"
}

value() { awk -v m="$2" '$4 == m { print $5 }' "$1"; }

DP_ENTRIES=1
dp_start "$DIR/run" 1 examples/declarations.yaml || exit 1
echo "latency side_idle_rssanon $(rss_kb enc-0) KB"
echo "latency entry_idle_rssanon $(rss_kb entry-0) KB"

load "$DIR/hop.txt" --only party-plan --tokens 8 --rate 200 --seconds 15
for _m in attained_all stage_added_p50 stage_added_p99 between_tokens_p95; do
	echo "latency at_200_per_s_$_m $(value "$DIR/hop.txt" $_m)"
done

_c=$(cpu_ms entry-0)
load "$DIR/rate.txt" --only explain-dispatch --tokens 1 --rate 900 --seconds 10
_c=$(($(cpu_ms entry-0) - _c))
_n=$(value "$DIR/rate.txt" offered)
echo "latency at_900_per_s_attained_all $(value "$DIR/rate.txt" attained_all)"
echo "$_n $_c" | awk '{ printf "latency stage_calls_a_core %d /s (from %d calls in %d ms of processor time)\n", $1 * 4 / ($2 / 1000), $1 * 4, $2 }'

if [ "${LONG:-0}" -gt 0 ]; then
	_r0=$(rss_kb entry-0)
	_s0=$(rss_kb enc-0)
	load "$DIR/long.txt" --rate 100 --seconds "$LONG"
	echo "latency entry_rssanon_over_${LONG}s $_r0 -> $(rss_kb entry-0) KB"
	echo "latency side_rssanon_over_${LONG}s $_s0 -> $(rss_kb enc-0) KB"
fi
