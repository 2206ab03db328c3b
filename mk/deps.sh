# Installs the Debian packages that the build, the tests and the demo need
# and that are missing.
set -eu
PKGS="gcc make pkg-config libc6-dev libapr1-dev libprotobuf-c-dev
libmicrohttpd-dev libhttp-parser-dev libcurl4-gnutls-dev libargtable2-dev liblog4c-dev
libglib2.0-dev libcunit1-dev libjansson-dev libyaml-dev libxxhash-dev
libsodium-dev libbsd-dev libzstd-dev protobuf-c-compiler clang-format clang-tidy cppcheck mandoc spin
gnuplot-nox curl openssl procps"

missing=
for p in $PKGS; do
	if ! dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
	    grep -q 'ok installed'; then
		missing="$missing $p"
	fi
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
SUDO=
[ "$(id -u)" = 0 ] || SUDO=sudo
export DEBIAN_FRONTEND=noninteractive
$SUDO apt-get update -qq
# shellcheck disable=SC2086
$SUDO apt-get install -y -qq --no-install-recommends $missing >/dev/null
