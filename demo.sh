#!/usr/bin/env bash
# Demonstrates a deployment with stand-ins: starts two nodes, applies a document,
# streams a response and places an order, then stops everything.
set -euo pipefail
cd "$(dirname "$0")"
echo "== build"
SIGNAL=-TERM
. ./common.sh

echo "== start stand-ins: 12 engines, 3 endpoints of plain services, key-value service, weight store, list of hosts"
"$out/standin" demo examples/omaheke.yaml \
  --entry 127.0.10.11:7000/127.0.10.11:8080/khomas-a \
  --entry 127.0.10.12:7000/127.0.10.12:8080/khomas-b >"$out/standin.log" 2>&1 &
pids+=($!)

export PLANTAINDECK_TTL=1s
echo "== start two nodes"
"$deck" node --peer 127.0.10.11:7000 --front 127.0.10.11:8080 --centre khomas-a >"$out/node1.log" 2>&1 &
pids+=($!)
"$deck" node --peer 127.0.10.12:7000 --front 127.0.10.12:8080 --centre khomas-b >"$out/node2.log" 2>&1 &
pids+=($!)

export PLANTAINDECK_NODES=127.0.10.11:8080,127.0.10.12:8080
echo "== apply the team's document"
for _ in $(seq 50); do
  "$deck" status --token maria-demo-key >"$out/status" 2>/dev/null && [ "$(grep -c true "$out/status")" = 2 ] && break
  sleep 0.2
done
"$deck" apply examples/omaheke.yaml --token maria-demo-key --wait 4s
"$deck" status --token maria-demo-key

export PLANTAINDECK_TOKEN=windhoek-demo-key
echo "== a lookup, streamed token by token, through the node in khomas-a"
"$deck" call llm-desk --class lookup --centre khomas-a "Which returns are open for stock code 4711?"
echo "== a summary, sent only when it is complete, through the node in khomas-b"
"$deck" call llm-desk --class summary --centre khomas-b --whole "Draft the weekly order for Windhoek."
echo "== an order, placed at most once"
"$deck" call orders-app --centre khomas-b --method POST --path /orders --key demo-order-1 --body '{"paper":"Republikein","bundles":3}'
echo "== the same order sent again, which gets the first response and is not placed again"
"$deck" call orders-app --centre khomas-a --method POST --path /orders --key demo-order-1 --body '{"paper":"Republikein","bundles":3}'
echo "== done"
