# summary.sh FILE ...: prints a Markdown table of the mean and the worst values;
# one file per seed.
awk '
$1 == "bench" {
	k = $2 SUBSEP $3 SUBSEP $4
	n[k]++; sum[k] += $5
	if (!(k in min) || $5 < min[k]) min[k] = $5
	if (!(k in max) || $5 > max[k]) max[k] = $5
	if (!($2 in seen)) { seen[$2] = 1; order[++m] = $2 }
}
function mean(s, p, q) { return n[s, p, q] ? sum[s, p, q] / n[s, p, q] : 0 }
END {
	print "| scenario | seeds | urgent mean (worst) | all mean (worst) | baseline urgent, all | doubled, lost, crossed, false not-run | unknown (worst) | units an attained, of baseline | endpoint time, of baseline | repeats |"
	print "|---|---|---|---|---|---|---|---|---|---|"
	for (i = 1; i <= m; i++) {
		s = order[i]
		printf "| %s | %d | %.4f (%.4f) | %.4f (%.4f) | %.4f, %.4f | %d, %d, %d, %d | %.1f (%d) | %.2f | %.2f | %.1f%% |\n", s,
		    n[s, "policy", "attained_urgent"],
		    mean(s, "policy", "attained_urgent"), min[s, "policy", "attained_urgent"],
		    mean(s, "policy", "attained_all"), min[s, "policy", "attained_all"],
		    mean(s, "baseline", "attained_urgent"), mean(s, "baseline", "attained_all"),
		    sum[s, "policy", "doubled"], sum[s, "policy", "lost"],
		    sum[s, "policy", "crossed"], sum[s, "policy", "false_not_run"],
		    mean(s, "policy", "unknown"), max[s, "policy", "unknown"],
		    mean(s, "policy", "cost_units") / mean(s, "baseline", "cost_units"),
		    mean(s, "policy", "cost_all") / mean(s, "baseline", "cost_all"),
		    mean(s, "policy", "extra_calls") * 100
	}
}' "$@"
