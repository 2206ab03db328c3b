#!/bin/sh
# Builds the stand-ins of the cases of the second review, each with its case:
# build/review-2/caseN.  Run in the repository's root.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags="-std=gnu11 -O1 -g -Wall -Wextra -Ireview/common-2 $(pkg-config --cflags jansson glib-2.0)"
libs="$(pkg-config --libs jansson glib-2.0) -lpthread"
for source in review/[4-8]/case.c; do
	[ -e "$source" ] || continue
	n=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	cc $flags "$source" review/common-2/rig.c -o "$out/case$n" $libs
done
