# plot.sh DIR SEED: plots the share of requests answered in time per second,
# policy against baseline, one SVG per scenario, from the series that bench.sh
# wrote to DIR.
set -u
for f in "$1"/*-policy-"$2".dat; do
	[ -f "$f" ] || continue
	s=$(basename "$f" "-policy-$2.dat")
	b=$1/$s-baseline-$2.dat
	[ -f "$b" ] || continue
	gnuplot <<-GP
	set terminal svg size 720,300
	set output "$1/$s-$2.svg"
	set title "$s: requests answered in time, by second of arrival"
	set xlabel "s"
	set yrange [0:1.05]
	set key bottom left
	plot "$f" using 1:3 with lines lw 2 title "policy", \
	    "$b" using 1:3 with lines lw 2 title "baseline", \
	    "$f" using 1:4 with lines dt 2 title "policy, urgent"
	GP
done
