#!/usr/bin/env bash
# Runs one experiment (see `bilberryload experiment list`) under the baseline
# and under the present policy, and prints both beside its target: a table, then
# one line of JSON. Build first; take figures only when nothing else runs.
#   Meta/experiment.sh NAME [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/processes.sh
name=${1:?which experiment}
seconds=${2:-30}
seed=${3:-1}
load="$bin/Utilities/bilberryload/bilberryload"

# Arguments: pool number, name, number of endpoints and service time in
# milliseconds.
pool() {
  start "$2" "$bin/Tests/Standins/endpointstandin" --pool "$2" --count "$3" \
    --subnet "127.$octet2.$((250 + $1))" --zones zona-a,zona-b,zona-c \
    --slots 4 --service-ms "$4" --model-kilobyte-us 1000 \
    --model-crash-mark '"crash":true' --links true --platform-ip "$platform"
}

# Service times of the stand-ins, which the configuration would otherwise
# understate.
sed 's|"path": "/stock", "expected_ms": 10|"path": "/stock", "expected_ms": 80|' \
  Examples/valbruna/configuration.json > "$work/configuration.json"

run_policy() {
  local policy=$1
  start platform "$bin/Tests/Standins/platformstandin" --ip "$platform"
  wait_for "http://$platform:7001/counts"
  pool 1 banco 3 80
  pool 2 magazzino 3 30
  pool 3 calendario 5 15
  local zones=(zona-a zona-b zona-c)
  for i in 1 2 3; do
    write_host_settings "entry-$i" "${zones[$((i - 1))]}" "$net.$i" \
      "$net.1" "$net.2" "$net.3"
    start "entry-$i" "$bin/Services/bilberryd/bilberryd" \
      --settings "$work/entry-$i.json" --policy "$policy"
  done
  "$bin/Utilities/bilberryctl/bilberryctl" apply --platform "$platform:7000" \
    --file "$work/configuration.json" --expect-revision 0 > /dev/null
  for i in 1 2 3; do
    wait_for "http://$net.$i:8080/readyz"
  done
  "$load" experiment "$name" --seconds "$seconds" --seed "$seed" \
    --target "$net.1:8080,$net.2:8080,$net.3:8080" \
    --pool "banco=127.$octet2.251.254:9000" \
    --pool "magazzino=127.$octet2.252.254:9000" \
    --pool "calendario=127.$octet2.253.254:9000" > "$work/$policy.json"
  stop_all
}

run_policy baseline
run_policy present
"$load" experiment "$name" --compare "$work/baseline.json,$work/present.json"
