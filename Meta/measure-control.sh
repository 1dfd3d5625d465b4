#!/usr/bin/env bash
# Measures the idle cost of entry hosts: three of them with a platform, a pool
# and Valbruna's configuration, but without requests. Prints the processor time,
# memory and share of a core of each. Build first; run on an otherwise idle
# machine. SECONDS_IDLE (60) is the measured time.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/processes.sh
idle=${SECONDS_IDLE:-60}

ticks() {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}

start platform "$bin/Tests/Standins/platformstandin" --ip "$net.100"
wait_for "http://$net.100:7001/counts"
start banco "$bin/Tests/Standins/endpointstandin" --pool banco --count 3 \
  --subnet "$net" --zones zona-a --service-ms 0 --platform-ip "$net.100"
hosts=()
for i in 51 52 53; do
  write_host_settings "entry-$i" zona-a "$net.$i" \
    "$net.51" "$net.52" "$net.53"
  start "entry-$i" "$bin/Services/bilberryd/bilberryd" \
    --settings "$work/entry-$i.json"
  hosts+=("$!")
done
"$bin/Utilities/bilberryctl/bilberryctl" apply --platform "$net.100:7000" \
  --file Examples/valbruna/configuration.json > /dev/null
for i in 51 52 53; do
  wait_for "http://$net.$i:8080/readyz"
done

declare -A before
for pid in "${hosts[@]}"; do
  before[$pid]=$(ticks "$pid")
done
sleep "$idle"
for pid in "${hosts[@]}"; do
  spent=$((($(ticks "$pid") - before[$pid]) * 10))
  memory=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
  echo "entry host: $spent ms of processor time in $idle s," \
    "$(awk "BEGIN { print $spent / $idle / 10 }")% of a core, $memory KB"
done
