#!/usr/bin/env bash
# Runs all tests with the race detector, but for the known failures: it prints the lines
# "skip: PATTERN" of KNOWN-RED.txt and passes over the tests that they name, as go test -skip
# takes them. Arguments are passed on to go test. The tests that measure the memory of a process
# run after the others, one at a time.
set -euo pipefail
cd "$(dirname "$0")"
skip=$(sed -n 's/^skip: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|') || true
if [ -n "$skip" ]; then grep -n '^skip: ' KNOWN-RED.txt; fi
measured='^(TestCrowd|TestLargestRequestInCalm|TestRefusalReachesCaller)$'
go test -race -timeout 20m -skip "${skip:+$skip|}$measured" ./... "$@"
exec go test -race -timeout 20m -p 1 ${skip:+-skip "$skip"} -run "$measured" ./platform ./node "$@"
