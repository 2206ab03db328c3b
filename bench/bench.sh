# bench.sh [SCENARIO ...]: runs each scenario for the policy and the baseline
# side by side on one arrival trace and prints
#   bench SCENARIO POLICY MEASURE VALUE UNIT
# SEED, RATE, OUT (a folder for the report) and PARALLEL may be set.
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/deploy.sh
. bench/scenarios.sh

SEED=${SEED:-1}
RATE=${RATE:-60}
SECONDS_LONG=24
OUT=${OUT:-build/bench}
PARALLEL=${PARALLEL:-2}
POLICIES=${POLICIES:-policy baseline}
ALL="steady burst straggler death kv-out silent rolling crossed pause race mixed"

run_one() { # SCENARIO POLICY
	_dir=$(mktemp -d)
	DECL=examples/declarations.yaml
	if [ "$2" = baseline ]; then
		sed -f bench/baseline.sed "$DECL" >"$_dir/baseline.yaml"
		DECL=$_dir/baseline.yaml
		DP_QUEUE=512
	fi
	case $1 in silent | crossed | mixed) DP_RELAYS=1 ;; esac
	trap 'dp_stop; rm -rf "$_dir"' EXIT
	dp_start "$_dir" "$SEED" "$DECL" || exit 1
	_args=
	for _u in $DP_URLS; do _args="$_args --entry $_u"; done
	[ "$1" = burst ] && _args="$_args --burst 3.5"
	case $1 in
	crossed) _cross=0.2 ;;
	mixed) _cross=0.02 ;;
	*) _cross= ;;
	esac
	if [ -n "$_cross" ]; then
		for _f in "$_dir"/*.relay; do
			dp_ctl /ctl/relay "{\"name\":\"$(basename "$_f" .relay)\",\"crossed\":$_cross}" >/dev/null
		done
	fi
	[ -n "${SAMPLE:-}" ] && { sample >"$OUT/$1-$2-$SEED.sample" & _smp=$!; }
	"act_$(echo "$1" | tr - _)" >"$_dir/act.log" 2>&1 &
	_act=$!
	# shellcheck disable=SC2086
	"$DP_BIN/marlload.bin" $_args --audit "$DP_PLATFORM" --scenario "$1" \
	    --policy "$2" --rate "$RATE" --seconds $SECONDS_LONG \
	    --seed "$SEED" --series "$OUT/$1-$2-$SEED.dat"
	kill $_act ${_smp:-} 2>/dev/null
	metrics "$1" "$2"
	if [ -n "${KEEP:-}" ]; then
		mkdir -p "$KEEP"
		cp -r "$_dir" "$KEEP/$1-$2"
	fi
}

metrics() { # SCENARIO POLICY: the entries' own counters, summed
	for _u in $DP_URLS; do
		curl -s -m 2 "$_u/metrics" | grep -v '^#'
	done | awk -v s="$1" -v p="$2" '
	    { v[$1] += $2 }
	    END {
		calls = v["marlhoist_relay_calls"]
		extra = v["marlhoist_pipe_retries"] + v["marlhoist_pipe_hedges"]
		if (calls == 0)
			calls = 1
		printf "bench %s %s extra_calls %.4f share\n", s, p, extra / calls
	    }'
	for _u in $DP_URLS; do
		curl -s -m 2 "$_u/metrics" | grep -v '^#'
	done | awk '{ v[$1] += $2 } END { for (k in v) print k, v[k] }' |
	    sort >"$OUT/$1-$2-$SEED.metrics"
	for _f in "$DP_DIR"/*.vm; do
		read -r _n _role _ <"$_f"
		[ "$_role" = side ] || continue
		curl -s -m 2 "http://127.0.0.1:$(dp_port "$DP_DIR/$_n.out" http)/metrics" |
		    grep -v '^#'
	done | awk '{ v[$1] += $2 } END { for (k in v) print k, v[k] }' |
	    sort >"$OUT/$1-$2-$SEED.sides"
}

run_scenario() { # SCENARIO
	for _p in $POLICIES; do
		(run_one "$1" "$_p") >"$OUT/$1-$_p-$SEED.txt" 2>"$OUT/$1-$_p-$SEED.err" &
	done
	wait
	for _p in $POLICIES; do cat "$OUT/$1-$_p-$SEED.txt"; done
}

mkdir -p "$OUT"
[ $# -eq 0 ] && set -- $ALL
while [ $# -gt 0 ]; do
	_n=0
	while [ $# -gt 0 ] && [ $_n -lt "$PARALLEL" ]; do
		(run_scenario "$1") &
		shift
		_n=$((_n + 1))
	done
	wait
done
sh bench/plot.sh "$OUT" "$SEED" 2>/dev/null
exit 0
