#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -buildvcs=false -o target/review-2 ./review/standin-2
