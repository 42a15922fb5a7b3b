#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review. Run it at the project's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3 ./review/_standin3
