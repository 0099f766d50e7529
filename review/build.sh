#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the store, the workers, the machines, the operator
# and the clients, in one program. It needs the Go toolchain and nothing else. The sources speak the platform's
# protocol, so they lie in a folder that is no package of the project (TestPlatformNamesAreConfined).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin review/.standin/*.go
