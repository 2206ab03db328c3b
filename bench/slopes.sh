# The slopes behind docs/CAPACITY.md: the decision services in virtual time
# (marlslope.bin), then real processes on loopback: memory by organisations,
# processor time by requests and tokens, and the time until a change is in force
# at all processes.
set -u
cd "$(dirname "$0")/.." || exit 1
. bench/deploy.sh
DIR=$(mktemp -d)
trap 'dp_stop; rm -rf "$DIR"' EXIT

"$DP_BIN/marlslope.bin" || exit 1

rss() { # NAME: the process's own memory, KB
	awk '/^RssAnon/ { print $2 }' "/proc/$(cat "$DP_DIR/$1.pid")/status"
}

cpu_ms() { # NAME ...: processor time so far, ms
	for _x in "$@"; do
		cat "/proc/$(cat "$DP_DIR/$_x.pid")/stat"
	done | awk -v hz="$(getconf CLK_TCK)" \
	    '{ s += $14 + $15 } END { printf "%d\n", s * 1000 / hz }'
}

fit() { # NAME UNIT: a least-squares line through "x y" lines of stdin
	awk -v n="$1" -v u="$2" '
	    { c++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2
	      printf "slope %s x=%s y=%s %s\n", n, $1, $2, u }
	    END {
		b = (c * sxy - sx * sy) / (c * sxx - sx * sx)
		printf "fit %s y = %.4f + %.6f x %s\n", n, (sy - b * sx) / c, b, u
	    }'
}

large_doc() { # ORGANISATIONS RULES: a document of that size
	sed '/^rules:/,$d' examples/declarations.yaml
	echo "rules:"
	_r=0
	while [ $_r -lt "$2" ]; do
		echo "  - {name: r$_r, when: {labels: {plant: p$_r}}, then: {class: batch}}"
		_r=$((_r + 1))
	done
	sed -n '/^rules:/,/^organisations:/p' examples/declarations.yaml |
	    sed '1d'
	sed '1,/^organisations:/d' examples/declarations.yaml
	awk -v n="$1" 'BEGIN { for (i = 0; i < n; i++)
	    printf "  - {name: o%d, units_per_s: 1000, keys: [{hash: %064x}]}\n", i, i + 1 }'
}

memory() {
	for _o in 10 400 1600; do
		DP_LLM=1 DP_ENTRIES=1
		large_doc $_o 300 >"$DIR/doc-$_o.yaml"
		dp_start "$DIR/m$_o" 1 "$DIR/doc-$_o.yaml" || exit 1
		echo "$_o $(rss entry-0)" >>"$DIR/entry-rss"
		echo "$_o $(rss llm-0)" >>"$DIR/side-rss"
		dp_stop
	done
	fit entry_rssanon_by_organisations KB <"$DIR/entry-rss"
	fit side_rssanon_by_organisations KB <"$DIR/side-rss"
}

load() {
	DP_LLM=10 DP_ENTRIES=3
	dp_start "$DIR/load" 1 examples/declarations.yaml || exit 1
	_entries="entry-0 entry-1 entry-2"
	_sides=$(cd "$DP_DIR" && ls ./*.vm | sed 's/^..//; s/.vm//' | grep -v entry)
	_args=
	for _u in $DP_URLS; do _args="$_args --entry $_u"; done
	for _rate in 20 40 80; do
		_e=$(cpu_ms $_entries)
		_s=$(cpu_ms $_sides)
		# shellcheck disable=SC2086
		"$DP_BIN/marlload.bin" $_args --audit "$DP_PLATFORM" \
		    --rate $_rate --seconds 12 >"$DIR/load.txt"
		_n=$(awk '$4 == "offered" { print int($5) }' "$DIR/load.txt")
		echo "$_n $(($(cpu_ms $_entries) - _e))" >>"$DIR/entry-cpu"
		echo "$_n $(($(cpu_ms $_sides) - _s))" >>"$DIR/side-cpu"
	done
	fit entry_cpu_by_requests "ms (all entries)" <"$DIR/entry-cpu"
	fit side_cpu_by_requests "ms (all side processes)" <"$DIR/side-cpu"
	_e=$(cpu_ms $_entries)
	_s=$(cpu_ms $_sides)
	sleep 10
	echo "idle entry_cpu $(($(cpu_ms $_entries) - _e)) ms in 10 s, 3 processes"
	echo "idle side_cpu $(($(cpu_ms $_sides) - _s)) ms in 10 s, $(echo $_sides | wc -w) processes"
	dp_stop
}

ms_of() { # a log line's time of day, ms
	sed 's/^.*T\([0-9]*\):\([0-9]*\):\([0-9]*\)\.\([0-9]*\)Z.*/\1 \2 \3 \4/' |
	    awk '{ print (($1 * 60 + $2) * 60 + $3) * 1000 + $4 }'
}

spread() {
	for _llm in 10 40 100; do
		DP_LLM=$_llm DP_ENTRIES=6
		dp_start "$DIR/s$_llm" 1 examples/declarations.yaml || exit 1
		_nodes=$(ls "$DP_DIR"/*.vm | wc -l)
		_calls=$(dp_ctl /ctl/platform '{}' | sed 's/.*"reads":\([0-9]*\).*/\1/')
		_worst=0
		for _g in 2 3 4 5 6; do
			sed "s/deadline_ms: 10000/deadline_ms: 1000$_g/" \
			    examples/declarations.yaml >"$DIR/next.yaml"
			_t0=$(date -u +%H:%M:%S.%3N |
			    awk -F'[:.]' '{ print (($1 * 60 + $2) * 60 + $3) * 1000 + $4 }')
			"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" apply \
			    "$DIR/next.yaml" >/dev/null
			sleep 3
			_have=$(grep -l "in force: generation=$_g\\." "$DP_DIR"/*.err | wc -l)
			_t1=$(grep -h "in force: generation=$_g\\." "$DP_DIR"/*.err |
			    ms_of | sort -n | tail -1)
			echo "change generation=$_g in force at $_have of $_nodes processes after $((_t1 - _t0)) ms"
			[ $((_t1 - _t0)) -gt $_worst ] && _worst=$((_t1 - _t0))
		done
		_calls=$(($(dp_ctl /ctl/platform '{}' | sed 's/.*"reads":\([0-9]*\).*/\1/') - _calls))
		echo "$_nodes $_worst" >>"$DIR/spread"
		echo "$((_nodes - 6)) $(rss entry-0)" >>"$DIR/links-rss"
		_e=$(cpu_ms entry-0 entry-1 entry-2)
		sleep 10
		echo "$((_nodes - 6)) $((($(cpu_ms entry-0 entry-1 entry-2) - _e) * 100 / 3))" |
		    awk '{ print $1, $2 / 1000 / 10 }' >>"$DIR/links-cpu"
		echo "$_nodes $(echo "$_calls 5" | awk '{ print $1 / $2 }')" >>"$DIR/calls"
		dp_stop
	done
	fit entry_idle_cpu_by_links "% of a core" <"$DIR/links-cpu"
	fit entry_rssanon_by_links KB <"$DIR/links-rss"
	fit change_in_force_by_processes ms <"$DIR/spread"
	fit kv_reads_a_change_by_processes calls <"$DIR/calls"
}

memory
load
spread
