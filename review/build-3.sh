#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. The build line of the deploy
# file has to run first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/scene ./review/scene-3/platform
