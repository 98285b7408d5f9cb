#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of deploy/system.toml. They use the
# packages of this module and of Go's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/kit ./review/_kit
