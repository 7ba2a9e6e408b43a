#!/usr/bin/env bash
# Sends streams with a part of the prompt that crashes each engine after the first event of its answer, and
# takes the broken streams up again. With TROUBLE=0 no such requests come. See claim.txt.
# It writes record.txt into its folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
if [ ! -x target/plantaindeck ] || [ ! -x target/review-rig ]; then
  echo "build the system and review/build-2.sh first" >&2
  exit 2
fi
exec timeout --kill-after=2 118 target/review-rig harmful "$folder"
