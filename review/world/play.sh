#!/usr/bin/env bash
# Runs one case: starts the stand-ins, and the gateways with the command of the deploy file,
# and ends them. The exit status is that of the case.
#
#   review/world/play.sh CASE FOLDER
set -u
cd "$(dirname "$0")/../.." || exit 2
case=$1
folder=$2
[ -x target/mustardsaddle ] && [ -x bin/world ] || { echo 'build the deploy file and review/build-2.sh first' >&2; exit 2; }
dir=$(mktemp -d) || exit 2
world=
supervisors=()

# Runs a gateway, and starts it again when it has ended.
supervise() {
  while [ ! -e "$dir/stop" ]; do
    target/mustardsaddle serve --settings "$1" >>"$1.log" 2>&1 &
    echo $! >"$1.pid.partial"
    mv "$1.pid.partial" "$1.pid"
    wait $!
    sleep 0.1
  done
}

# Ends all processes that were started.
cleanup() {
  touch "$dir/stop"
  [ -z "$world" ] || kill "$world" 2>/dev/null
  for signal in TERM KILL; do
    for file in "$dir"/*.pid; do
      [ -e "$file" ] && kill -s "$signal" "$(cat "$file")" 2>/dev/null
    done
    for _ in $(seq 80); do
      running=0
      for pid in "${supervisors[@]}"; do
        kill -0 "$pid" 2>/dev/null && running=1
      done
      [ "$running" = 0 ] && break 2
      sleep 0.1
    done
  done
  [ -z "${KEEP_LOGS:-}" ] || cp "$dir"/*.log "$KEEP_LOGS"/
  rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

bin/world "$case" "$folder" "$dir" &
world=$!
while [ ! -e "$dir/gateways" ]; do
  kill -0 "$world" 2>/dev/null || exit 2
  sleep 0.05
done
while read -r settings; do
  supervise "$settings" &
  supervisors+=($!)
done <"$dir/gateways"
wait "$world"
status=$?
world=
exit "$status"
