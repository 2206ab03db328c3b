# The faults of each scenario and their times in a run of 24 s.  Sourced by
# bench.sh; each act_NAME runs concurrently with the load.

fault() { # ENDPOINT FAULT [FACTOR]
	dp_ctl /ctl/fault \
	    "{\"name\":\"$1\",\"fault\":\"$2\",\"factor\":${3:-10}}" >/dev/null
}

platform() { dp_ctl /ctl/platform "$1" >/dev/null; }

swallow() { # WAY NAME...
	_way=$1
	shift
	for _x in "$@"; do
		dp_ctl /ctl/relay "{\"name\":\"$_x\",\"swallow\":\"$_way\"}" \
		    >/dev/null
	done
}

restart_side() { # NAME: a new process on the same VM
	read -r _ _ _pool2 _dom2 _slots2 <"$DP_DIR/$1.vm"
	rm -f "$DP_DIR/$1.relay" "$DP_DIR/$1.leaving"
	dp_side "$1" "$_pool2" "$_dom2" "$_slots2"
}

restart_entry() { # NAME: on the same port as before
	read -r _ _ _ _dom2 _ <"$DP_DIR/$1.vm"
	_http=$(dp_port "$DP_DIR/$1.out" http)
	# shellcheck disable=SC2046
	dp_run "$1" "$DP_BIN/marlhoistd.bin" $(dp_common "$1" "$_dom2" |
	    sed "s/--http 127.0.0.1:0/--http 127.0.0.1:$_http/")
}

wait_gone() { # NAME: until the process ended, 12 s at most
	_g=0
	while kill -0 "$(cat "$DP_DIR/$1.pid")" 2>/dev/null; do
		_g=$((_g + 1))
		[ $_g -gt 240 ] && return
		sleep 0.05
	done
}

act_steady() { :; }
act_burst() { :; }

act_straggler() {
	sleep 6
	fault llm-0 slow
	fault enc-0 slow
	fault gate-0 slow
	sleep 8
	fault llm-0 error
	fault enc-0 error
	fault gate-0 none
	sleep 5
	fault llm-0 none
	fault enc-0 none
}

act_death() {
	sleep 5
	dp_signal llm-1 KILL
	dp_signal enc-0 KILL
	fault llm-2 dead
	sleep 3
	dp_signal entry-2 KILL
	mv "$DP_DIR/llm-1.vm" "$DP_DIR/llm-1.gone"
	dp_vms
	sleep 2
	dp_signal book-1 KILL
	sleep 1
	restart_side book-1
	restart_side enc-0
	restart_entry entry-2
	dp_vms
	sleep 4
	dp_signal gate-3 KILL
	sleep 2
	mv "$DP_DIR/gate-3.vm" "$DP_DIR/gate-3.gone"
	dp_vms
}

act_kv_out() {
	sleep 4
	platform '{"down":true}'
	sleep 3
	dp_signal enc-1 TERM
	wait_gone enc-1
	restart_side enc-1
	dp_side llm-spare llm a 8
	dp_vms
	sleep 2
	dp_signal entry-1 TERM
	wait_gone entry-1
	restart_entry entry-1
	dp_vms
	sleep 2
	dp_signal gate-1 KILL
	restart_side gate-1
	dp_vms
	sleep 3
	platform '{"down":false,"delay_ms":1500}'
	sleep 3
	platform '{"delay_ms":2}'
}

act_silent() {
	sleep 5
	swallow both llm-0 llm-1 llm-2 gate-0 book-0 enc-0
	sleep 4
	swallow back llm-3 llm-4 gate-1 book-1 ret-0
	sleep 4
	swallow forth llm-5 llm-6 gate-2 book-2 rer-0
	sleep 4
	swallow both llm-0 llm-4 gate-3 enc-1
}

roll_side() { # NAME WAY
	if [ "$2" = list ]; then
		: >"$DP_DIR/$1.leaving"
		dp_vms
		sleep 0.3
	fi
	dp_signal "$1" TERM
	wait_gone "$1"
	restart_side "$1"
	dp_vms
}

act_rolling() {
	sleep 2
	for _r in llm-0 llm-1 llm-2 llm-3 llm-4; do roll_side $_r drain; done
	dp_signal entry-0 TERM
	wait_gone entry-0
	restart_entry entry-0
	dp_vms
	for _r in llm-5 llm-6 llm-7 enc-0 ret-0; do roll_side $_r list; done
	for _r in gate-0 book-0 gate-1 book-1; do roll_side $_r drain; done
	dp_signal entry-1 TERM
	wait_gone entry-1
	restart_entry entry-1
	dp_vms
}

act_crossed() { :; }

act_pause() {
	sleep 5
	for _x in gate-0 book-1 llm-3; do dp_signal $_x STOP; done
	sleep 6
	for _x in gate-0 book-1 llm-3; do dp_signal $_x CONT; done
	sleep 3
	for _x in gate-2 llm-5 enc-2; do dp_signal $_x STOP; done
	sleep 4
	for _x in gate-2 llm-5 enc-2; do dp_signal $_x CONT; done
}

act_race() {
	sleep 3
	platform '{"lose_answers":0.3}'
	for _x in 1 2 3 4 5 6 7 8 9 10; do
		for _op in one two; do
			sed "s/deadline_ms: 10000/deadline_ms: 1000$_x/" \
			    "$DECL" >"$DP_DIR/$_op.yaml"
			"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" apply \
			    "$DP_DIR/$_op.yaml" >>"$DP_DIR/race-$_op.out" 2>&1 &
			echo $! >"$DP_DIR/race-$_op.last"
		done
		sleep 1.5
	done
	platform '{"lose_answers":0}'
}

act_mixed() {
	sleep 3
	platform '{"down":true}'
	fault enc-0 slow
	sleep 2
	swallow both llm-0 gate-0 book-0
	dp_signal llm-1 KILL
	sleep 2
	dp_signal gate-1 STOP
	fault llm-4 error
	sleep 3
	restart_side llm-1
	dp_vms
	platform '{"down":false,"lose_answers":0.5}'
	sleep 1
	dp_signal gate-1 CONT
	fault llm-4 none
	swallow back llm-2 gate-2
	sleep 2
	dp_signal book-2 KILL
	restart_side book-2
	dp_vms
	fault enc-0 none
	sleep 2
	dp_signal llm-6 STOP
	swallow forth llm-7 enc-1
	sleep 3
	dp_signal llm-6 CONT
	platform '{"lose_answers":0}'
}

# SAMPLE=1 writes the engines' cumulative counters every second.
sample() {
	while sleep 1; do
		curl -s -m 2 "$DP_PLATFORM/ctl/audit" | tr '{' '\n' |
		    awk -F'[:,]' '/"generate"/ { for (i = 1; i < NF; i++) {
			if ($i ~ /tokens_out/) o += $(i + 1)
			if ($i ~ /tokens_in/) t += $(i + 1)
			if ($i ~ /tokens_cached/) c += $(i + 1)
			if ($i ~ /busy_us/) b += $(i + 1) } }
			END { print b, t, c, o }'
	done
}
