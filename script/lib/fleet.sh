# Functions that start and stop a fleet on loopback. Scripts source this file and set
# the array "regions" to the names of three regions.

log_dir=$(mktemp -d)
store_address=127.0.0.1:7100
entry_addresses=()
pids=()
host_pids=()
any_failed=0
server_count=0

export TREFOILLINE_STORE=$store_address
export TREFOILLINE_FLEET_SECRET=demo-secret-on-loopback
export TREFOILLINED_FLEET_SECRET=$TREFOILLINE_FLEET_SECRET

# stop_fleet ends all started processes. If the script set any_failed, it prints
# where the logs are. Otherwise it removes them, also if a failed command ended the
# script.
stop_fleet() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$any_failed" -ne 0 ]; then
    echo "logs are in $log_dir"
  else
    rm -rf "$log_dir"
  fi
}
trap stop_fleet EXIT
trap 'exit 130' INT TERM

# wait_until SECONDS COMMAND...: runs a command every 0.1 s until it succeeds; fails
# after 10 * SECONDS failed tries.
wait_until() {
  local tries_left=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tries_left=$((tries_left - 1))
    [ "$tries_left" -gt 0 ] || return 1
    sleep 0.1
  done
}

# start_process NAME COMMAND...: starts a command in the background, writes its output
# to the log folder, and stops it when the script exits.
start_process() {
  local name=$1
  shift
  "$@" >"$log_dir/$name.out" 2>"$log_dir/$name.log" &
  pids+=($!)
}

# register_machine NAME KIND REGION ZONE ADDRESS SERVICE SLOTS: adds a machine to the
# list of the stand-in store.
register_machine() {
  curl -fsS -X PUT "http://$store_address/stand-in/machines/$1" -d "{\"name\":\"$1\",\"kind\":\"$2\",\"region\":\"$3\",\"zone\":\"$4\",\"address\":\"$5\",\"state\":\"live\",\"service\":\"$6\",\"slots\":$7}"
}

# region_of NUMBER, zone_of NUMBER: print the region and the zone of an entry host.
region_of() { echo "${regions[$((($1 - 1) % 3))]}"; }
zone_of() { echo "$(region_of "$1")-$([ $(($1 % 2)) -eq 0 ] && echo a || echo b)"; }

start_store() {
  start_process store bin/trefoilline-standin store --listen "$store_address"
  wait_until 10 curl -fsS "http://$store_address/v1/machines"
}

# start_servers SERVICE REGION COUNT: starts backend servers in two zones of a region.
start_servers() {
  local n zone name address
  for n in $(seq 1 "$3"); do
    server_count=$((server_count + 1))
    zone=$2-$([ $((n % 2)) -eq 0 ] && echo b || echo a)
    name=$1-$server_count
    address=127.0.0.1:$((7200 + server_count))
    start_process "$name" bin/trefoilline-standin backend --listen "$address" --name "$name" --slots 4 --service-time 6ms
    register_machine "$name" backend-server "$2" "$zone" "$address" "$1" 4
  done
}

# start_hosts registers and starts seven entry hosts.
start_hosts() {
  local n
  for n in 1 2 3 4 5 6 7; do
    register_machine "entry-$n" entry-host "$(region_of "$n")" "$(zone_of "$n")" "127.0.0.1:$((7300 + n))" "" 0
  done
  for n in 1 2 3 4 5 6 7; do
    entry_addresses+=("127.0.0.1:$((7300 + n))")
    start_process "entry-$n" bin/trefoillined run --host "entry-$n" --region "$(region_of "$n")" --zone "$(zone_of "$n")" --listen "127.0.0.1:$((7300 + n))" --store "$store_address" --look-up-validity 2s
    host_pids+=($!)
  done
}

build_programs() {
  echo "building the programs"
  mkdir -p bin
  go build -o bin/ ./cmd/...
}
