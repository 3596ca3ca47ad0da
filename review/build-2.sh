#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-2 ./review/rig-2
