#!/usr/bin/env bash
# Serves each kind of request of the users' platform through real processes: the
# small platform's stand-in and three entry hosts, one of which is killed and
# one stopped. Usage: platform.sh BUILD
set -euo pipefail
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
source Meta/processes.sh
failures=0

check() {
  local what=$1 expected=$2 actual=$3
  if [ "$expected" != "$actual" ]; then
    echo "FAILED: $what: expected $expected, was $actual"
    failures=$((failures + 1))
  fi
}

# ask HOST METHOD PATH [CURL ARGUMENT…]: prints the status, the body goes to
# $work/body.
last_request=0
ask() {
  local host=$1 method=$2 path=$3
  shift 3
  last_request=$((last_request + 1))
  curl -s -o "$work/body" -w '%{http_code}' --max-time 10 -X "$method" \
    -H 'Host: shop.example' -H "Attempt-Id: r$last_request-$RANDOM" \
    -H 'Deadline-Ms: 5000' -H "Authorization: Token ${key:-key-1}" "$@" \
    "http://$net.$host:8080$path" || true
}

stream() {
  ask "$1" POST "$2" -H 'Prompt-Prefix: aa:100,bb:50' -H 'Pieces: 2,3' \
    -H 'Piece-Key: 5eed' -d prompt
}

start platform "$build/Tests/Standins/smallplatformstandin" --ip "$platform"
for i in 1 2 3; do
  cat > "$work/entry-$i.json" << EOF
{
  "host": "entry-$i", "zone": "z1",
  "callers": "$net.$i:8080", "readiness": "$net.$i:8081",
  "peers": "$net.$i:8082", "store": "$platform:7000",
  "stop_grace_s": 4
}
EOF
  BILBERRYLEVER_CONFIG="$work/entry-$i.json" \
    start "entry-$i" "$build/platform/bilberryentry" > "$work/entry-$i.out"
done
for i in 1 2 3; do
  wait_for "http://$net.$i:8081/v1/ready"
done

for i in 1 2 3; do
  check "read at entry-$i" 200 "$(ask "$i" GET /read/x)"
  check "booking at entry-$i" 200 "$(ask "$i" POST /book/x -d b)"
  check "stream at entry-$i" 200 "$(stream "$i" /draft/x)"
  check "its events" 5 "$(grep -c '^id: ' "$work/body")"
  check "resumable stream at entry-$i" 200 "$(stream "$i" /resume/x)"
  check "unknown path at entry-$i" 404 "$(ask "$i" GET /nowhere/x)"
  check "unknown key at entry-$i" 401 \
    "$(key=none ask "$i" GET /read/x)"
done

# Other hosts take over the part of a killed host in their requests.
kill -KILL "${pids[3]}"
wait "${pids[3]}" 2> /dev/null || true
unset 'pids[3]'
for i in 1 2; do
  for _ in 1 2 3; do
    check "stream at entry-$i, entry-3 killed" 200 "$(stream "$i" /draft/x)"
  done
done

# Settings are reloaded, and a stop succeeds within the grace period.
kill -HUP "${pids[2]}"
check "read after a reload" 200 "$(ask 2 GET /read/x)"
kill -TERM "${pids[2]}"
began=$SECONDS
code=0
wait "${pids[2]}" || code=$?
unset 'pids[2]'
check "exit code of a stop" 0 "$code"
check "stop within the grace" yes "$([ $((SECONDS - began)) -le 4 ] && echo yes)"
check "read at entry-1, alone" 200 "$(ask 1 GET /read/x)"
check "stream at entry-1, alone" 200 "$(stream 1 /draft/x)"

# Each line of the log is one JSON object.
for i in 1 2 3; do
  check "lines of entry-$i that are no object" 0 \
    "$(grep -vc '^{.*}$' "$work/entry-$i.out")"
done
if [ "$failures" -gt 0 ]; then
  tail -n 20 "$work"/entry-*.out
  exit 1
fi
echo "all kinds served"
