# table.sh FILE ...: prints the lines of bench.sh as a table, with one row per
# scenario and policy.
cat "$@" | awk '
$1 == "bench" { v[$2, $3, $4] = $5; if (!($2 in seen)) { seen[$2] = 1; order[++n] = $2 } }
function f(s, p, m) { return ((s, p, m) in v) ? v[s, p, m] : "-" }
END {
	printf "%-10s %-9s %7s %7s %7s %7s %5s %5s %5s %5s %6s %8s %8s %6s\n",
	    "scenario", "policy", "urgent", "inter", "batch", "all", "dbl",
	    "lost", "cross", "f-nr", "unkn", "cost_us", "units", "extra"
	for (i = 1; i <= n; i++) {
		for (j = 1; j <= 2; j++) {
			s = order[i]; p = j == 1 ? "policy" : "baseline"
			printf "%-10s %-9s %7s %7s %7s %7s %5d %5d %5d %5d %6d %8d %8d %6s\n",
			    s, p, f(s, p, "attained_urgent"),
			    f(s, p, "attained_interactive"),
			    f(s, p, "attained_batch"), f(s, p, "attained_all"),
			    f(s, p, "doubled"), f(s, p, "lost"),
			    f(s, p, "crossed"), f(s, p, "false_not_run"),
			    f(s, p, "unknown"), f(s, p, "cost_all"),
			    f(s, p, "cost_units"), f(s, p, "extra_calls")
		}
	}
}'
