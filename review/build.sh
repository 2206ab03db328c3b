#!/bin/sh
# Builds the stand-ins that the scripts of this folder start, under
# target/review.  Run it in the repository's root, after the deploy file's
# build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -g -O1 -Wall -Wextra -Ireview/common"
for case in review/[123]/case.c; do
	[ -f "$case" ] || continue
	n=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2046,SC2086
	gcc $flags $(pkg-config --cflags jansson) -o "target/review/case$n" \
	    "$case" review/common/stand.c $(pkg-config --libs jansson) -lpthread
done
