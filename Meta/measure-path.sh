#!/usr/bin/env bash
# Measures the overhead of an entry host on a one-stage request: the same
# stand-in endpoint is called directly and through one entry host, in one run.
# Build first; run on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/processes.sh

start platform "$bin/Tests/Standins/platformstandin" --ip "$net.100"
wait_for "http://$net.100:7001/counts"
start banco "$bin/Tests/Standins/endpointstandin" --pool banco --count 3 \
  --subnet "$net" --zones zona-a --service-ms 0 --slots 64 \
  --platform-ip "$net.100"
write_host_settings entry-1 zona-a "$net.50"
start entry "$bin/Services/bilberryd/bilberryd" --settings "$work/entry-1.json" \
  ${POLICY:+--policy "$POLICY"}
"$bin/Utilities/bilberryctl/bilberryctl" apply --platform "$net.100:7000" \
  --file Examples/valbruna/configuration.json > /dev/null
wait_for "http://$net.50:8080/readyz"

load() {
  "$bin/Utilities/bilberryload/bilberryload" --team malga-nuova "$@"
}
for callers in 1 16; do
  requests=$((callers * 5000))
  load --target "$net.1:9000" --path /stock --requests 2000 > /dev/null
  echo "direct, $callers callers: $(load --target "$net.1:9000" \
    --path /stock --callers "$callers" --requests "$requests")"
  load --target "$net.50:8080" --pipeline stock --requests 2000 > /dev/null
  before=$(awk '{ print $14 + $15 }' "/proc/${pids[2]}/stat")
  echo "through, $callers callers: $(load --target "$net.50:8080" \
    --pipeline stock --callers "$callers" --requests "$requests")"
  after=$(awk '{ print $14 + $15 }' "/proc/${pids[2]}/stat")
  echo "entry host, $callers callers: $(((after - before) * 10000 /
    requests)) us of processor time a request"
done
