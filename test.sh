#!/usr/bin/env bash
# Runs all tests with the race detector. Arguments are passed on to go test.
set -euo pipefail
cd "$(dirname "$0")"
exec go test -race -timeout 20m ./... "$@"
