#!/usr/bin/env bash
# Passes the tests, with the race detector.
set -euo pipefail
cd "$(dirname "$0")"
exec go test -race -timeout 20m ./... "$@"
