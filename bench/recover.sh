# recover.sh DIR SEED: prints, from the series in DIR, how long after the end of
# each scenario's fault the share of requests answered in time stays at its
# level before the fault, for all and for urgent requests.
set -u
while read -r s from end; do
	f=$1/$s-policy-$2.dat
	[ -f "$f" ] || continue
	awk -v s="$s" -v from="$from" -v end="$end" '
	    $1 < from { n++; base += $3; ubase += $4 }
	    { all[$1] = $3; urgent[$1] = $4; last = $1 }
	    END {
		base /= n; ubase /= n
		a = u = end
		for (i = end; i <= last; i++) {
			if (all[i] < base - 0.005) a = i + 1
			if (urgent[i] < ubase - 0.005) u = i + 1
		}
		printf "recovered %s all=%ds urgent=%ds after the end of the fault\n", s, a - end, u - end
	    }' "$f"
done <<-SCENARIOS
	burst 8 16
	straggler 6 19
	death 5 18
	kv-out 4 20
	silent 5 17
	rolling 2 22
	pause 5 18
	mixed 3 19
SCENARIOS
