#!/bin/bash
# Plays the case once and writes record.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption. The script becomes the stand-in, which ends its node in any case.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/bin/review2/memoryflood
if [ ! -x "$program" ] || [ ! -x "$root/bin/balancer" ]; then
    echo "build first: the command of deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
exec "$program" "$root" "$here"
