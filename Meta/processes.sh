# Sourced by scripts that start processes; starts them, waits for them and stops
# them.
# shellcheck shell=bash

# A loopback network of this run, so that concurrent runs don't collide.
octet2=$((16 + $$ / 250 % 200))
net="127.$octet2.$(($$ % 250))"
bin=build
platform="$net.100"
token=operator-token
work=$(mktemp -d)
pids=()

# Runs a program in the background, its log in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" 2> "$work/$name.log" &
  pids+=("$!")
}

# Waits until an address answers.
wait_for() {
  for _ in $(seq 100); do
    if curl -s -o /dev/null --fail "$1"; then
      return 0
    fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

# Writes the settings of entry host NAME in ZONE at the IP number to
# $work/NAME.json; further arguments are the IP numbers of its seed peers. The
# platform is at $platform, the operator token is $token.
write_host_settings() {
  local name=$1 zone=$2 ip=$3
  shift 3
  local seeds=""
  for seed_ip in "$@"; do
    seeds+="${seeds:+, }{ \"ip\": \"$seed_ip\", \"port\": 8081 }"
  done
  cat > "$work/$name.json" << EOF
{
  "host": "$name",
  "zone": "$zone",
  "callers": { "ip": "$ip", "port": 8080 },
  "peers": { "ip": "$ip", "port": 8081 },
  "platform": { "ip": "$platform", "port": 7000 },
  "seed_peers": [$seeds],
  "operator_token": "$token"
}
EOF
}

# Stops the started processes by process id, and reports those that failed.
stop_all() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2> /dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" || echo "process $pid ended with $?" >&2
  done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
