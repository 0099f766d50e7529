#!/bin/bash
# Builds the stand-in of the scripts in review/9 to review/13. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
go build -o target/standin-3 ./review/.standin-3 || exit 1
