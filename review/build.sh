#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -o target/review/standin ./review/_standin
