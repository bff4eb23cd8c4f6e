#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption. Needs the build of deploy/system.toml and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/tacktallyd ] && [ -x target/review/harness ] || { echo "not built" >&2; exit 2; }
exec target/review/harness -record "$here/record.txt" endless-head
