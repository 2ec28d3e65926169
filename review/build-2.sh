#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-scene-2 ./review/scene-2/platform
