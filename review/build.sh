#!/bin/sh
# Builds the stand-ins of all cases into target/. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
