#!/usr/bin/env bash
# Scores the deployments of the regression runs: regress.sh BENCH SITES, with the users'
# bench and the directory of its site files. Compares each score with the last one in
# docs/STANDING.md and prints a table. Fails if a gate is not passed or a score fell by
# 0.03 or more, which is more than the bench's noise.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
bench=${1:?usage: regress.sh BENCH SITES}
sites=${2:?usage: regress.sh BENCH SITES}
out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=0
printf '%-20s %8s %8s  %s\n' site score before result
for file in further/msra-rounds further-grown/msra-rounds-grown large/onc-paper-large \
  grown/onc-paper-grown grown/zlk-stock-grown; do
  name=$(basename "$file")
  if ! "$bench" score "$sites/$file.toml" --why "regression run" >"$out" 2>&1; then
    echo "$name: the bench failed:" >&2
    tail -5 "$out" >&2
    failed=1
    continue
  fi
  score=$(sed -n 's/^score on the standard days of .*: \([0-9.]*\)$/\1/p' "$out")
  gate=$(grep -o '^GATE [a-z]*' "$out" || echo "no gate")
  before=$(awk -F'|' -v site=" $name " '$2 == site && $3 == " all " {gsub(/ /, "", $4); last = $4} END {print last}' docs/STANDING.md)
  result=ok
  if [ "$gate" != "GATE passed" ]; then
    result=$gate
  elif [ -z "$score" ] || [ -z "$before" ]; then
    result="no score to compare"
  elif awk -v now="$score" -v before="$before" 'BEGIN {exit !(before - now >= 0.03)}'; then
    result="fell by 0.03 or more"
  fi
  if [ "$result" != ok ]; then failed=1; fi
  printf '%-20s %8s %8s  %s\n' "$name" "${score:-none}" "${before:-none}" "$result"
done
exit "$failed"
