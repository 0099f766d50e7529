#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin ./review/.standin-2
