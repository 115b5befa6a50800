#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && go build -o target/ ./review/standin-2
