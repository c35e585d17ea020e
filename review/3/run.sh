#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/balancer ] || [ ! -x review/bin/memory ]; then
	echo 'not run: the build of the deploy file or review/build.sh is missing'
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TMPDIR=$folder timeout -k 2 100 review/bin/memory -root . -record review/3/record.txt -trouble=$trouble
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
