#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start. The daemons are those of the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/rig2
