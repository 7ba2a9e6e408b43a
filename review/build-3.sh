#!/bin/sh
# Builds the stand-ins of the third review, which its scripts start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/world3 ./review/world3
