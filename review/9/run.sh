#!/usr/bin/env bash
# Kills all processes at the same moment while servers of two versions serve side by side. With
# TROUBLE=0 the channels of the consumers break instead. See claim.txt.
# It writes record.txt into its folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
if [ ! -x target/plantaindeck ] || [ ! -x target/review-rig ]; then
  echo "build the system and review/build-2.sh first" >&2
  exit 2
fi
exec timeout --kill-after=2 118 target/review-rig versions "$folder"
