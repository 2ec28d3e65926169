#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It runs after the build line of
# deploy/system.toml, which builds the programs of the system.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-scene ./review/platform/scene
