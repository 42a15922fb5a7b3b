# Starts and ends a fleet on loopback. Sourced by scripts that have set "regions".

logs=$(mktemp -d)
store=127.0.0.1:7100
entries=()
pids=()
host_pids=()
failed=0
servers=0

export TREFOILLINE_STORE=$store
export TREFOILLINE_FLEET_SECRET=demo-secret-on-loopback
export TREFOILLINED_FLEET_SECRET=$TREFOILLINE_FLEET_SECRET

finish() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$failed" -ne 0 ]; then
    echo "logs are in $logs"
  else
    rm -rf "$logs"
  fi
}
trap finish EXIT
trap 'exit 130' INT TERM

# until_true SECONDS COMMAND...: waits for a command to succeed.
until_true() {
  local left=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || return 1
    sleep 0.1
  done
}

# run NAME COMMAND...: starts a process in the background.
run() {
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  pids+=($!)
}

register() { # name kind region zone address service slots
  curl -fsS -X PUT "http://$store/stand-in/machines/$1" -d "{\"name\":\"$1\",\"kind\":\"$2\",\"region\":\"$3\",\"zone\":\"$4\",\"address\":\"$5\",\"state\":\"live\",\"service\":\"$6\",\"slots\":$7}"
}

region_of() { echo "${regions[$((($1 - 1) % 3))]}"; }
zone_of() { echo "$(region_of "$1")-$([ $(($1 % 2)) -eq 0 ] && echo a || echo b)"; }

start_store() {
  run store bin/trefoilline-standin store --listen "$store"
  until_true 10 curl -fsS "http://$store/v1/machines"
}

start_servers() { # service region count
  local n zone name address
  for n in $(seq 1 "$3"); do
    servers=$((servers + 1))
    zone=$2-$([ $((n % 2)) -eq 0 ] && echo b || echo a)
    name=$1-$servers
    address=127.0.0.1:$((7200 + servers))
    run "$name" bin/trefoilline-standin backend --listen "$address" --name "$name" --slots 4 --service-time 6ms
    register "$name" backend-server "$2" "$zone" "$address" "$1" 4
  done
}

start_hosts() {
  local n
  for n in 1 2 3 4 5 6 7; do
    register "entry-$n" entry-host "$(region_of "$n")" "$(zone_of "$n")" "127.0.0.1:$((7300 + n))" "" 0
  done
  for n in 1 2 3 4 5 6 7; do
    entries+=("127.0.0.1:$((7300 + n))")
    run "entry-$n" bin/trefoillined run --host "entry-$n" --region "$(region_of "$n")" --zone "$(zone_of "$n")" --listen "127.0.0.1:$((7300 + n))" --store "$store" --look-up-validity 2s
    host_pids+=($!)
  done
}

build() {
  echo "building"
  mkdir -p bin
  go build -o bin/ ./cmd/...
}
