#!/usr/bin/env bash
# Builds the program as the deploy file does, if that hasn't been done, and the stand-ins of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/portgauge ] || go build -ldflags=-linkmode=external -o target/ ./cmd/portgauge
go build -o target/review-standin ./review/standin
