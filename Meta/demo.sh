#!/usr/bin/env bash
# Installs, builds and demonstrates the complete request path: the stand-ins,
# three entry hosts in three zones, Valbruna's configuration, and one request of
# each kind.
set -euo pipefail
cd "$(dirname "$0")/.."
source Meta/processes.sh
Meta/setup.sh
Meta/build.sh

start platform "$bin/Tests/Standins/platformstandin" --ip "$platform"
wait_for "http://$platform:7001/counts"

# Arguments: pool number, name, number of endpoints, and whether they report
# their load.
pool() {
  start "$2" "$bin/Tests/Standins/endpointstandin" --pool "$2" --count "$3" \
    --subnet "127.$octet2.$((250 + $1))" --zones zona-a,zona-b,zona-c \
    --reports-load="$4" --platform-ip "$platform"
}
pool 1 lucignolo 9 false
pool 2 banco 3 false
pool 3 magazzino 3 true
pool 4 fatture 5 true
pool 5 calendario 5 true

zones=(zona-a zona-b zona-c)
for i in 1 2 3; do
  write_host_settings "entry-$i" "${zones[$((i - 1))]}" "$net.$i" \
    "$net.1" "$net.2" "$net.3"
  start "entry-$i" "$bin/Services/bilberryd/bilberryd" \
    --settings "$work/entry-$i.json"
done

"$bin/Examples/valbruna/valbruna" > "$work/configuration.json"
"$bin/Utilities/bilberryctl/bilberryctl" apply \
  --file "$work/configuration.json" --platform "$platform:7000" \
  --expect-revision 0
for i in 1 2 3; do
  wait_for "http://$net.$i:8080/readyz"
done

n=0
for pipeline in quotation inventory-summary booking-chat booking stock \
  dispatch invoice events; do
  host=$((n % 3 + 1))
  n=$((n + 1))
  echo "--- $pipeline, at entry-$host"
  curl -s --fail-with-body -H "Bilberry-Team: parrocchia-san-floriano" \
    -H "Idempotency-Key: demo-$pipeline" -d '{"event":"procession"}' \
    "http://$net.$host:8080/v1/pipelines/$pipeline" | tee "$work/answer-$n"
  echo
  grep -o '"endpoint":"[^"]*"' "$work/answer-$n" | sort | uniq -c |
    sed "s/^ */$pipeline answered by /" >> "$work/summary"
done

echo "--- who answered (stages)"
cat "$work/summary"
hosts="$net.1:8081,$net.2:8081,$net.3:8081"
for command in status report; do
  echo "--- $command"
  "$bin/Utilities/bilberryctl/bilberryctl" "$command" --token "$token" \
    --hosts "$hosts"
done
