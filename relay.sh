#!/usr/bin/env bash
# Measures two nodes under load: relay.sh RATE [SECONDS] [SPEED], with RATE requests
# a second and engines SPEED times faster than their modelled cost. The load
# generator and the stand-ins run on the same host. Prints the throughput and the
# cost of each node, and the results of the load generator.
set -euo pipefail
cd "$(dirname "$0")"
rate=${1:?usage: relay.sh RATE [SECONDS] [SPEED]}
seconds=${2:-20}
speed=${3:-1}
. ./common.sh
"$out/standin" demo examples/omaheke.yaml --speed "$speed" --entry 127.0.40.1:7000/127.0.40.1:8080/khomas-a \
  --entry 127.0.40.2:7000/127.0.40.2:8080/khomas-b >"$out/standin.log" 2>&1 &
pids+=($!)
sleep 1
node_pids=()
for i in 1 2; do
  "$deck" node --peer "127.0.40.$i:7000" --front "127.0.40.$i:8080" --centre "khomas-$i" >"$out/node$i.log" 2>&1 &
  pids+=($!)
  node_pids+=($!)
done
sleep 3
PLANTAINDECK_NODES=127.0.40.1:8080 "$deck" apply "${DOCUMENT:-examples/omaheke.yaml}" --token maria-demo-key --wait 20s
"$deck" load --nodes 127.0.40.1:8080,127.0.40.2:8080 --rate "$rate" --duration "$((seconds + 20))s" --drain 1s >"$out/load" 2>/dev/null &
load_pid=$!
pids+=("$load_pid")
sleep 15

# ticks prints the processor time that process $1 has used, in clock ticks. metric
# prints the sum over the metrics of node $1 whose names begin with $2.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
metric() { curl -s "http://127.0.40.$1:8080/metrics" | awk -v m="^$2" '$0 ~ m {s += $2} END {print s + 0}'; }
hz=$(getconf CLK_TCK)
for i in 1 2; do
  t0[i]=$(ticks "${node_pids[$((i - 1))]}")
  n0[i]=$(metric "$i" plantaindeck_tokens_total)
  b0[i]=$(metric "$i" plantaindeck_peer_bytes_total)
  k0[i]=$(metric "$i" plantaindeck_kernel_busy_seconds_total)
done
sleep "$seconds"
for i in 1 2; do
  pid=${node_pids[$((i - 1))]}
  awk -v i="$i" -v s="$seconds" -v hz="$hz" -v t=$(($(ticks "$pid") - t0[i])) \
    -v n=$(($(metric "$i" plantaindeck_tokens_total) - n0[i])) \
    -v b=$(($(metric "$i" plantaindeck_peer_bytes_total) - b0[i])) \
    -v k0="${k0[i]}" -v k1="$(metric "$i" plantaindeck_kernel_busy_seconds_total)" \
    -v rss="$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" 'BEGIN {
    printf "node %d: %.0f tokens/s, core %.2f%%, %.1f us a token, kernel %.2f%%, memory %d KB, peers %.0f bytes/s\n", i, n / s, 100 * t / hz / s, 1e6 * t / hz / (n + 1), 100 * (k1 - k0) / s, rss, b / s
  }'
done
curl -s http://127.0.40.1:8080/v1/status -H 'Authorization: Bearer maria-demo-key' | tr ',' '\n' | grep -A1 '"requests"\|granted' | tr '\n' ' '
echo
wait "$load_pid"
cat "$out/load"
