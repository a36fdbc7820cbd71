#!/bin/bash
# Builds the stand-ins of the review's scripts. The programs themselves are built by the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
if ! command -v go >/dev/null && [ -x /usr/local/go/bin/go ]; then PATH="$PATH:/usr/local/go/bin"; fi
go build -buildvcs=false -o target/review-standin ./review/standin
