#!/bin/sh
# Builds the stand-ins that the scripts of review/4, review/5 and review/6 start.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -buildvcs=false -o target/review-2 ./review/standin-2
