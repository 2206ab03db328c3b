# Runs clang-tidy, cppcheck and mandoc over all sources and manual pages.
set -eu
FLAGS="-std=gnu11 -Ilib -Iregress -Iplatform -Iplatform/soak -Imarlwork $(pkg-config --cflags apr-1 libprotobuf-c \
    libmicrohttpd libcurl glib-2.0 jansson yaml-0.1 libxxhash libsodium \
    libbsd-overlay libzstd)"
files=$(ls lib/*.c marl*/*.c platform/*.c platform/soak/*.c regress/*.c | grep -v 'pb-c')
# shellcheck disable=SC2086
echo "$files" | xargs -P 4 -n 4 sh -c '
	flags=$0
	clang-tidy --quiet --warnings-as-errors="*" "$@" -- $flags 2>build/tidy.err
' "$FLAGS" >build/tidy.log || { cat build/tidy.log; exit 1; }
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 -j 4 \
    --enable=warning,portability --suppress=unknownMacro \
    --suppress=missingIncludeSystem -Ilib $files
for m in marl*/*.[158] platform/*.8 platform/soak/*.1; do
	[ -e "$m" ] || continue
	mandoc -Tlint -Wwarning "$m"
done
echo "lint: good"
