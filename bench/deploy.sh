# Starts a small deployment on loopback for demo and benchmarks: stand-ins,
# side processes, entries.  Sourced; each process is signalled by its own id.
#
# dp_start DIR SEED DECL    dp_stop    dp_ctl PATH JSON
# dp_side NAME POOL DOMAIN SLOTS    dp_entry NAME DOMAIN    dp_vms
# dp_signal NAME SIGNAL

DP_BIN=${DP_BIN:-build/debug}
DP_RELAYS=${DP_RELAYS:-0}
DP_LLM=${DP_LLM:-10}
DP_ENTRIES=${DP_ENTRIES:-3}
DP_QUEUE=${DP_QUEUE:-256}

dp_wait_file() { # FILE WORD: until the file contains the word, 20 s at most
	_w=0
	while ! grep -q "$2" "$1" 2>/dev/null; do
		_w=$((_w + 1))
		if [ "$_w" -gt 400 ]; then
			echo "deploy: $1 never said $2" >&2
			tail -3 "${1%.out}.err" >&2 2>/dev/null
			return 1
		fi
		sleep 0.05
	done
}

dp_ctl() { # PATH JSON: a command to the stand-ins
	curl -s -m 5 -X POST -d "$2" "$DP_PLATFORM$1" || true
}

dp_endpoint() { # NAME KIND DOMAIN EXTRA: a line of the world file
	printf '%s{"name":"%s","kind":"%s","domain":"%s","delay_us":500%s}' \
	    "$DP_SEP" "$1" "$2" "$3" "$4" >>"$DP_DIR/world.json"
	DP_SEP=,
}

dp_domain() { # N: the failure domain of the Nth of a kind
	case $(($1 % 3)) in 0) echo a ;; 1) echo b ;; *) echo c ;; esac
}

dp_world() {
	DP_SEP=
	printf '{"endpoints":[' >"$DP_DIR/world.json"
	_i=0
	while [ $_i -lt "$DP_LLM" ]; do
		dp_endpoint llm-$_i generate "$(dp_domain $_i)" \
		    ',"workers":8,"step_us":20000,"per_seq_us":500,"prefill_per_s":12000,"cache_blocks":700,"honours_priority":true'
		_i=$((_i + 1))
	done
	dp_endpoint llm-spare generate a \
	    ',"workers":8,"step_us":20000,"per_seq_us":500,"prefill_per_s":12000,"cache_blocks":700,"honours_priority":true'
	for _i in 0 1 2; do
		_d=$(dp_domain $_i)
		dp_endpoint enc-$_i encode "$_d" ',"service_us":4000,"workers":4'
		dp_endpoint ret-$_i retrieve "$_d" ',"service_us":6000,"workers":4'
		dp_endpoint rer-$_i rerank "$_d" ',"service_us":5000,"workers":4'
		dp_endpoint book-$_i service "$_d" ',"service_us":15000,"workers":4'
	done
	for _i in 0 1 2 3; do
		dp_endpoint gate-$_i service "$(dp_domain $_i)" \
		    ',"service_us":15000,"workers":4'
	done
	printf ']}\n' >>"$DP_DIR/world.json"
}

dp_port() { # FILE NAME: the port that a ready line names
	sed -n "s/.*$2[= ]\([0-9]*\).*/\1/p" "$1" | head -1
}

dp_run() { # NAME COMMAND...: in the background, its id kept
	_name=$1
	shift
	"$@" >"$DP_DIR/$_name.out" 2>"$DP_DIR/$_name.err" </dev/null &
	echo $! >"$DP_DIR/$_name.pid"
}

dp_common() { # NAME DOMAIN: the settings of every daemon
	echo "--vm $1 --domain $2 --listen 127.0.0.1:0 --http 127.0.0.1:0
	    --kv $DP_PLATFORM --vmlist $DP_PLATFORM/v1/vms
	    --secret-file $DP_DIR/secret"
}

dp_side() { # NAME POOL DOMAIN SLOTS: beside the endpoint of that name
	# shellcheck disable=SC2046
	dp_run "$1" "$DP_BIN/marlsided.bin" $(dp_common "$1" "$3") \
	    --pool "$2" --slots "$4" --queue "$DP_QUEUE" \
	    --endpoint "http://127.0.0.1:$(sed -n "s/^$1 //p" "$DP_DIR/stand.out")"
	echo "$1 side $2 $3 $4" >"$DP_DIR/$1.vm"
}

dp_entry() { # NAME DOMAIN
	# shellcheck disable=SC2046
	dp_run "$1" "$DP_BIN/marlhoistd.bin" $(dp_common "$1" "$2")
	echo "$1 entry - $2 0" >"$DP_DIR/$1.vm"
}

dp_addr() { # NAME: where peers dial it, through a relay if relays are on
	_port=$(dp_port "$DP_DIR/$1.out" link)
	if [ "$DP_RELAYS" = 1 ] && [ "$2" = side ]; then
		if [ ! -f "$DP_DIR/$1.relay" ]; then
			dp_ctl /ctl/relay "{\"name\":\"$1\",\"port\":$_port}" |
			    sed 's/[^0-9]//g' >"$DP_DIR/$1.relay"
		fi
		_port=$(cat "$DP_DIR/$1.relay")
	fi
	echo "127.0.0.1:$_port"
}

dp_vms() { # sends the platform the list of VMs
	_list=
	for _f in "$DP_DIR"/*.vm; do
		read -r _n _role _pool _dom _slots <"$_f"
		_state=live
		[ -f "$DP_DIR/$_n.leaving" ] && _state=leaving
		dp_wait_file "$DP_DIR/$_n.out" ready || return 1
		_list="$_list,{\"id\":\"$_n\",\"addr\":\"$(dp_addr "$_n" "$_role")\",\"role\":\"$_role\",\"pool\":\"$_pool\",\"domain\":\"$_dom\",\"state\":\"$_state\"}"
	done
	dp_ctl /ctl/vms "[${_list#,}]" >/dev/null
}

dp_signal() { # NAME SIGNAL
	kill "-$2" "$(cat "$DP_DIR/$1.pid")" 2>/dev/null || true
}

dp_sides() {
	_k=0
	while [ $_k -lt "$DP_LLM" ]; do
		dp_side llm-$_k llm "$(dp_domain $_k)" 8
		_k=$((_k + 1))
	done
	for _k in 0 1 2; do
		_d=$(dp_domain $_k)
		dp_side enc-$_k encoders "$_d" 4
		dp_side ret-$_k retrievers "$_d" 4
		dp_side rer-$_k rerankers "$_d" 4
		dp_side book-$_k booking "$_d" 4
	done
	for _k in 0 1 2 3; do
		dp_side gate-$_k gateway "$(dp_domain $_k)" 4
	done
}

dp_wait_ready() { # until every entry has the declarations and its links
	for _e in $DP_URLS; do
		_w=0
		until curl -s -m 1 -o /dev/null -f "$_e/readyz"; do
			_w=$((_w + 1))
			[ $_w -gt 200 ] && return 1
			sleep 0.05
		done
	done
	# Owners of the at-most-once partitions settle within a second or two.
	sleep 3
}

dp_urls() {
	DP_URLS=
	for _f in "$DP_DIR"/entry-*.vm; do
		_n=$(basename "$_f" .vm)
		DP_URLS="$DP_URLS http://127.0.0.1:$(dp_port "$DP_DIR/$_n.out" http)"
	done
}

dp_start() { # DIR SEED DECL
	DP_DIR=$1
	mkdir -p "$DP_DIR"
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$DP_DIR/secret"
	dp_world
	dp_run stand "$DP_BIN/marlstand.bin" -s "$2" "$DP_DIR/world.json"
	dp_wait_file "$DP_DIR/stand.out" ready || return 1
	DP_PLATFORM=http://127.0.0.1:$(sed -n 's/^platform //p' "$DP_DIR/stand.out")
	dp_sides
	_k=0
	while [ $_k -lt "$DP_ENTRIES" ]; do
		dp_entry entry-$_k "$(dp_domain $_k)"
		_k=$((_k + 1))
	done
	dp_vms || return 1
	dp_urls
	"$DP_BIN/marlctl.bin" --kv "$DP_PLATFORM" apply "$3" \
	    >"$DP_DIR/apply.out" || return 1
	dp_wait_ready
}

dp_stop() {
	exec 3>&2 2>/dev/null # the shell names each process that it reaps
	for _p in "$DP_DIR"/*.pid; do
		[ -f "$_p" ] && kill -KILL "$(cat "$_p")" 2>/dev/null
	done
	wait
	exec 2>&3 3>&-
	return 0
}
