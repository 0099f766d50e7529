#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the store, the workers, the machines, the operator
# and the clients, in one program. It needs the Go toolchain and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
