#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. It needs the builds of deploy/system.toml and of
# review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/galenacove ] || ! [ -x target/review/kit ]; then
  echo 'not built: see deploy/system.toml and review/build.sh' >&2
  exit 2
fi
exec target/review/kit wide review/3
