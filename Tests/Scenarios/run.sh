#!/usr/bin/env bash
# Runs one scenario against real processes and reports whether all its
# expectations were met. docs/DEVELOPERS.md describes the language. Usage:
# run.sh BUILD FILE
set -euo pipefail
bin=$(cd "$1" && pwd)
scenario=$2
here=$(cd "$(dirname "$0")" && pwd)
# A loopback network of this run, so that concurrent runs don't collide.
net="127.$((16 + $$ / 250 % 200)).$(($$ % 250))"
token=scenario-token
zones=(zona-a zona-b zona-c)
work=$(mktemp -d)
declare -A pids=()
declare -A codes=()
failures=0

stop_all() {
  touch "$work/end"
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2> /dev/null || true
    kill -KILL "$pid" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

start() {
  local name=$1
  shift
  "$@" 2>> "$work/$name.log" &
  pids[$name]=$!
}

# wait_until SECONDS COMMAND…
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then
      return 1
    fi
    sleep 0.2
  done
}

answers() {
  curl -s -o /dev/null --max-time 2 --fail "$1"
}

zone_of() {
  echo "${zones[$((($1 - 1) % 3))]}"
}

# Hosts connect directly within their zone, and through links to other zones and
# to the platform.
link_port() {
  echo $((10000 + $1 * 100 + $2))
}

write_settings() {
  local i=$1 j seeds="" separator=""
  for ((j = 1; j <= hosts; ++j)); do
    local address="$net.$j" port=8081
    if [ "$(zone_of "$i")" != "$(zone_of "$j")" ]; then
      address=$net.201 port=$(link_port "$i" "$j")
    fi
    seeds+="$separator{ \"ip\": \"$address\", \"port\": $port }"
    separator=", "
  done
  cat > "$work/entry-$i.json" << END
{
  "host": "entry-$i", "zone": "$(zone_of "$i")",
  "callers": { "ip": "$net.$i", "port": 8080 },
  "peers": { "ip": "$net.$i", "port": 8081 },
  "platform": { "ip": "$net.201", "port": $(link_port "$i" 0) },
  "seed_peers": [ $seeds ],
  "operator_token": "$token"
}
END
}

start_host() {
  start "entry-$1" "$bin/Services/bilberryd/bilberryd" \
    --settings "$work/entry-$1.json"
}

start_links() {
  local i j flags=()
  for ((i = 1; i <= hosts; ++i)); do
    flags+=(--link "$(zone_of "$i")>platform=$net.201:$(link_port "$i" 0)=$net.200:7000")
    for ((j = 1; j <= hosts; ++j)); do
      if [ "$(zone_of "$i")" != "$(zone_of "$j")" ]; then
        flags+=(--link "$(zone_of "$i")>$(zone_of "$j")=$net.201:$(link_port "$i" "$j")=$net.$j:8081")
      fi
    done
  done
  start links "$bin/Tests/Standins/relaystandin" --ip "$net.201" "${flags[@]}"
}

apply() {
  "$bin/Utilities/bilberryctl/bilberryctl" apply --platform "$net.200:7000" \
    --file "$here/configuration.json" --expect-revision $(($1 - 1))
}

start_world() {
  hosts=$1
  start platform "$bin/Tests/Standins/platformstandin" --ip "$net.200"
  wait_until 20 answers "http://$net.200:7001/counts"
  local pool octets=${net#127.}
  local second=${octets%%.*} third=${octets##*.} number=0
  for pool in engines desk; do
    number=$((number + 1))
    start "$pool" "$bin/Tests/Standins/endpointstandin" --pool "$pool" \
      --count 3 --subnet "127.$((number == 1 ? 230 + second % 10 : 240 + second % 10)).$third" \
      --zones zona-a,zona-b,zona-c --slots 16 --service-ms 20 --tokens 10 \
      --token-ms 20 --platform-ip "$net.200"
  done
  start_links
  apply 1
  local i
  for ((i = 1; i <= hosts; ++i)); do
    write_settings "$i"
    start_host "$i"
  done
  for ((i = 1; i <= hosts; ++i)); do
    wait_until 30 answers "http://$net.$i:8080/readyz" ||
      fail "entry-$i never became ready"
  done
}

# Simulates a load balancer, which sends to the hosts that were ready at its
# last health check.
balance() {
  local i ready
  while [ ! -e "$work/end" ]; do
    ready=""
    for ((i = 1; i <= hosts; ++i)); do
      if answers "http://$net.$i:8080/readyz"; then
        ready+="$i "
      fi
    done
    echo "$ready" > "$work/ready.next"
    mv "$work/ready.next" "$work/ready"
    sleep 0.3
  done
}

call_once() {
  local host=$1 pipeline=$2 out="$work/answer-$BASHPID" code=0
  curl -s -i --max-time 10 -H "Bilberry-Team: t" -d '{}' -o "$out" \
    "http://$net.$host:8080/v1/pipelines/$pipeline" || code=$?
  if [ "$code" -eq 7 ]; then
    echo "unreachable entry-$host"
  elif [ "$code" -ne 0 ]; then
    echo "cut-off entry-$host curl $code"
  elif grep -qi '^Bilberry-Executed: no' "$out"; then
    echo "refused entry-$host"
  elif grep -q '^HTTP/1.1 200' "$out" && grep -q '^event: end' "$out" &&
    ! grep -q '"error"' "$out"; then
    echo "whole entry-$host"
  else
    echo "cut-off entry-$host $(tr -d '\r\n' < "$out" | cut -c 1-300)"
  fi
}

caller() {
  local ready
  while [ ! -e "$work/end-load" ]; do
    read -r -a ready < "$work/ready" || true
    if [ "${#ready[@]}" -eq 0 ]; then
      sleep 0.1
      continue
    fi
    call_once "${ready[$((RANDOM % ${#ready[@]}))]}" "$1" >> "$work/results"
  done
}

start_load() {
  seq -s ' ' "$hosts" > "$work/ready"
  : > "$work/results"
  balance &
  balancer=$!
  callers=()
  local i
  for ((i = 0; i < $2; ++i)); do
    caller "$1" &
    callers+=("$!")
  done
}

end_load() {
  touch "$work/end-load"
  wait "${callers[@]}"
  touch "$work/end"
  wait "$balancer"
}

number_of() {
  echo "${1#entry-}"
}

reap() {
  local name=$1 code=0
  wait "${pids[$name]}" || code=$?
  codes[$name]=$code
  unset "pids[$name]"
}

has_ended() {
  ! kill -0 "${pids[$1]}" 2> /dev/null || [ "$(awk '{ print $3 }' "/proc/${pids[$1]}/stat")" = Z ]
}

order_links() {
  curl -s --fail -o /dev/null -X POST "http://$net.201:7002/order?$1"
}

fault() {
  curl -s --fail -o /dev/null -d "{\"kind\":\"$1\"}" "http://$net.200:7001/faults"
}

do_fault() {
  local verb=$1
  shift
  case $verb in
    apply) apply "$2" ;;
    cut) order_links "zone=$1&state=${2:-silent}${3:+&other=$3}" ;;
    heal) order_links "zone=$1&state=sound" ;;
    platform) fault "$1" ;;
    stop) kill -TERM "${pids[$1]}" ;;
    kill)
      kill -KILL "${pids[$1]}"
      reap "$1" 2> /dev/null
      ;;
    freeze) kill -STOP "${pids[$1]}" ;;
    thaw) kill -CONT "${pids[$1]}" ;;
    start) start_host "$(number_of "$1")" ;;
    *) fail "unknown fault: $verb" ;;
  esac
}

has_revision() {
  local i
  for i in $2; do
    curl -s --max-time 2 -H "Bilberry-Operator-Token: $token" \
      -H 'Content-Type: application/json' \
      -d '{"jsonrpc":"2.0","id":1,"method":"status","params":{}}' \
      "http://$net.$i:8081/rpc" | grep -q "\"revision\":$1[,}]" || return 1
  done
}

# Host numbers of "everywhere", of a zone or of one host.
hosts_of() {
  local i
  for ((i = 1; i <= hosts; ++i)); do
    if [ "$1" = everywhere ] || [ "$1" = "$(zone_of "$i")" ] ||
      [ "$1" = "entry-$i" ]; then
      echo -n "$i "
    fi
  done
}

is_served() {
  local i
  for i in $2; do
    call_once "$i" "$1" | grep -q '^whole' || return 1
  done
}

count_of() {
  grep -c "^$1 " "$work/results" || true
}

# expect SECONDS WHAT…
expect() {
  local seconds=$1 what=$2
  shift 2
  case $what in
    revision) wait_until "$seconds" has_revision "$1" "$(hosts_of "$3")" ||
      fail "no revision $1 at $3 within ${seconds}s" ;;
    served) wait_until "$seconds" is_served "$1" "$(hosts_of "$3")" ||
      fail "$1 is not served at $3 within ${seconds}s" ;;
    stopped)
      if wait_until "$seconds" has_ended "$1"; then
        reap "$1"
        [ "${codes[$1]}" -eq 0 ] || fail "$1 ended with ${codes[$1]}"
      else
        fail "$1 has not stopped within ${seconds}s"
      fi
      ;;
    none)
      [ "$(count_of "$1")" -eq 0 ] ||
        fail "$(count_of "$1") $1: $(grep -m 3 "^$1 " "$work/results")"
      ;;
    some) [ "$(count_of "$1")" -gt 0 ] || fail "no $1" ;;
    *) fail "unknown expectation: $what" ;;
  esac
}

sleep_until() {
  while [ "$SECONDS" -lt "$(($1 + began))" ]; do
    sleep 0.1
  done
}

line_number=0
while read -r -a words; do
  line_number=$((line_number + 1))
  if [ "${#words[@]}" -eq 0 ] || [[ ${words[0]} == \#* ]]; then
    continue
  fi
  echo "$line_number: ${words[*]}"
  case ${words[0]} in
    hosts)
      start_world "${words[1]}"
      began=$SECONDS
      ;;
    load) start_load "${words[1]}" "${words[2]}" ;;
    end-load) end_load ;;
    at)
      sleep_until "${words[1]%s}"
      do_fault "${words[@]:2}"
      ;;
    within) expect "${words[1]%s}" "${words[@]:3}" ;;
    expect) expect 0 "${words[@]:1}" ;;
    *) fail "unknown line: ${words[*]}" ;;
  esac
done < "$scenario"

if [ -e "$work/results" ]; then
  cut -d ' ' -f 1 "$work/results" | sort | uniq -c
fi
if [ "$failures" -gt 0 ]; then
  tail -n 5 "$work"/*.log
  echo "$failures expectations failed"
  exit 1
fi
echo "all came true"
