#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The build of deploy/system.toml has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/standin ./review/standin
