#!/usr/bin/env bash
# Measures the cost of idle nodes: measure.sh NODES [SECONDS]. Prints the time until
# a document is in force on every node, the mean processor use and peer traffic of a
# node, the range of the nodes' resident memory, and the counts of the key-value calls
# of all nodes before and after the measurement.
set -euo pipefail
cd "$(dirname "$0")"
nodes=${1:?usage: measure.sh NODES [SECONDS]}
seconds=${2:-20}
. ./common.sh
export GOMAXPROCS=2
entries=()
for i in $(seq "$nodes"); do entries+=(--entry "127.0.40.$i:7000/127.0.40.$i:8080/dc-$((i % 4))"); done
"$out/standin" demo "${DOCUMENT:-examples/omaheke.yaml}" "${entries[@]}" >"$out/standin.log" 2>&1 &
pids+=($!)
sleep 1
node_pids=()
for i in $(seq "$nodes"); do
  "$deck" node --peer "127.0.40.$i:7000" --front "127.0.40.$i:8080" --centre "dc-$((i % 4))" >"$out/node$i.log" 2>&1 &
  pids+=($!)
  node_pids+=($!)
done
sleep 5
started=$(date +%s%N)
PLANTAINDECK_NODES=127.0.40.1:8080 "$deck" apply "${DOCUMENT:-examples/omaheke.yaml}" --token maria-demo-key --wait 20s
echo "apply and wait: $((($(date +%s%N) - started) / 1000000)) ms"
sleep 15

# ticks prints the processor time that process $1 has used, in clock ticks. bytes
# prints the number of bytes that node $1 has sent to and received from other nodes.
# kv prints the counts of calls to the key-value service.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
bytes() { curl -s "http://127.0.40.$1:8080/metrics" | awk '/^plantaindeck_peer_bytes_total/ {s += $2} END {print s}'; }
sum() { awk '{s += $1} END {print s}'; }
all_ticks() { for p in "${node_pids[@]}"; do ticks "$p"; done | sum; }
all_bytes() { for i in $(seq "$nodes"); do bytes "$i"; done | sum; }
kv() { curl -s "http://127.0.10.1:2379/control/counts"; }

t0=$(all_ticks); b0=$(all_bytes); k0=$(kv)
sleep "$seconds"
t1=$(all_ticks); b1=$(all_bytes); k1=$(kv)
rss=$(for p in "${node_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | sort -n)
hz=$(getconf CLK_TCK)
awk -v n="$nodes" -v s="$seconds" -v t=$((t1 - t0)) -v hz="$hz" -v b=$((b1 - b0)) \
  -v low="$(echo "$rss" | head -1)" -v high="$(echo "$rss" | tail -1)" -v k0="$k0" -v k1="$k1" 'BEGIN {
  printf "nodes %d: core %.3f%%, memory %d to %d KB, peers %.0f bytes/s in and out, a node\n", n, 100 * t / hz / s / n, low, high, b / s / n
  printf "key-value counts before %s after %s, over %d s\n", k0, k1, s
}'
