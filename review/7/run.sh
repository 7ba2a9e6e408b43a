#!/usr/bin/env bash
# Kills all processes right after the servers of a service were replaced, while the later pages of a stale list are
# older than its first one. With TROUBLE=0 no process is killed. See claim.txt.
# It writes record.txt into its folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
if [ ! -x target/plantaindeck ] || [ ! -x target/review-rig ]; then
  echo "build the system and review/build-2.sh first" >&2
  exit 2
fi
exec timeout --kill-after=2 118 target/review-rig pages "$folder"
