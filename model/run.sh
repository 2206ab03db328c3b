# Checks the model, and that the removal of any guard is detected.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

check() { # WORD FLAGS: prints the number of errors found
	spin -a $2 -o3 once.pml >/dev/null
	mv pan.* "$out"
	gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2000 -o "$out/pan" "$out/pan.c" \
	    2>/dev/null
	"$out/pan" -m200000 >"$out/$1.log" 2>&1 || true
	rm -f ./*.trail
	sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out/$1.log"
}

n=$(check whole "")
states=$(sed -n 's/ *\([0-9e+.]*\) states, stored.*/\1/p' "$out/whole.log")
if [ "$n" != 0 ] || grep -q "max search depth too small" "$out/whole.log" ||
    grep -q "out of memory" "$out/whole.log"; then
	cat "$out/whole.log"
	echo "model: the protocol fails" >&2
	exit 1
fi
echo "model: whole, no failure in $states states"
for v in NO_BOUND NO_FREEZE NO_SERIAL NO_MARK NO_PROOF LEASE; do
	n=$(check "$v" "-D$v")
	if [ "${n:-0}" = 0 ]; then
		echo "model: $v is not caught" >&2
		exit 1
	fi
	echo "model: $v, a failure is found"
done
