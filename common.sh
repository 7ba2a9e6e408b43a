# Sourced by the scripts that start processes. Builds the programs into the
# temporary directory $out, sets the settings that all nodes share, and on exit
# sends the signal $SIGNAL (default -KILL) to the processes whose IDs are in $pids.
cd "$(dirname "${BASH_SOURCE[0]}")"
out=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "${SIGNAL:--KILL}" "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$out"
}
trap cleanup EXIT
go build -o "$out/" ./cmd/plantaindeck ./cmd/standin
deck=$out/plantaindeck
export PLANTAINDECK_KV=127.0.10.1:2379 PLANTAINDECK_HOSTS=127.0.10.3:8300
export PLANTAINDECK_SECRET=a-secret-for-the-demo-only
PLANTAINDECK_ADMIN=maria=$("$deck" hash maria-demo-key)
export PLANTAINDECK_ADMIN
