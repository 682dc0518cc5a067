#!/usr/bin/env bash
# Measures the resource usage of nodes on this machine and writes one JSON file per section to docs/capacity/.
#
#   scripts/measure-capacity.sh [SECTION...]    sections: nodes cells targets models small traffic stream; default: all
#
# Starts stand-ins and nodes on loopback, in a separate network namespace if the system allows it; only then are the bytes
# on loopback counted. Stops only the processes that it started. Requires bash, curl, jq and a JDK (jcmd).
# Environment variables: OUT (results directory), SETTLE_SECONDS, WINDOW_SECONDS, PUBLISHES, KILLS, NODE_OPTIONS,
# SIZES (replaces the sizes of a section), BIN (path of the binary), LOCK (a file that is locked during each case).
set -euo pipefail

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-$ROOT/target/poplarwharf}
OUT=${OUT:-$ROOT/docs/capacity}
SETTLE_SECONDS=${SETTLE_SECONDS:-20}
WINDOW_SECONDS=${WINDOW_SECONDS:-20}
PUBLISHES=${PUBLISHES:-30}
KILLS=${KILLS:-5}
NODE_OPTIONS=${NODE_OPTIONS:-}
LOCK=${LOCK:-}
TOKEN=measure

if [ -z "${IN_NAMESPACE:-}" ]; then
  if unshare -rn true 2>/dev/null; then
    IN_NAMESPACE=yes exec unshare -rn "${BASH_SOURCE[0]}" "$@"
  fi
  IN_NAMESPACE=no
fi
if [ "$IN_NAMESPACE" = yes ]; then
  ip link set lo up
fi

WORK=$(mktemp -d)

pid() { # NAME
  cat "$WORK/$1.pid"
}

# Process ids are stored in files because parts of a section run in subshells.
end_all() {
  local file
  for file in "$WORK"/*.pid; do
    [ -e "$file" ] || continue
    kill -9 "$(cat "$file")" 2>/dev/null || true
    rm -f "$file"
  done
}
trap 'end_all; rm -rf "$WORK"' EXIT

start() { # NAME ARGUMENTS...
  local name=$1
  shift
  "$BIN" "$@" >>"$WORK/$name.out" 2>>"$WORK/$name.err" 9>&- &
  echo $! >"$WORK/$name.pid"
  disown
}

await() { # URL
  local attempt
  for attempt in $(seq 1 600); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -3 "$WORK"/*.err >&2
  exit 1
}

await_port() { # PORT
  local attempt
  for attempt in $(seq 1 600); do
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null && return 0
    sleep 0.1
  done
  echo "nothing listens on $1" >&2
  exit 1
}

admin() { # NODE PATH
  curl -sf -m 2 -H "Authorization: Bearer $TOKEN" "http://127.0.0.1:$((14000 + $1))/$2"
}

write_config() { # CELLS TARGETS MODELS ADAPTERS
  mkdir -p "$WORK/config"
  awk -v cells="$1" -v targets="$2" -v models="$3" -v adapters="$4" 'BEGIN {
    print "cells:"
    for (c = 1; c <= cells; c++) printf "  - {name: c%d, zones: [z%d]}\n", c, c
    print "targets:"
    for (t = 1; t <= targets; t++)
      printf "  - {name: t%d, kind: engine, address: \"127.0.0.1:%d\", zone: z%d, memory: 80GiB, maxConcurrent: 16, fencing: true}\n", t, 15000 + t, (t - 1) % cells + 1
    print "  - {name: s1, kind: service, address: \"127.0.0.1:10020\", zone: z1, maxConcurrent: 64}"
    print "services:"
    print "  - {name: echo, targets: [s1]}"
    print "models:"
    for (m = 1; m <= models; m++) printf "  - {name: model-%d, version: v1, size: 7GiB, replicas: 1, priority: %d}\n", m, m % 100
    if (adapters > 0) print "adapters:"
    for (a = 1; a <= adapters; a++)
      printf "  - {model: model-%d, name: a%d, version: v1, size: 200MiB, replicas: 1}\n", (a - 1) % models + 1, a
  }' >"$WORK/config/10-fleet.yaml"
  printf 'classes:\n  - {name: interactive, deadline: 10s, priority: 50, queueLimit: 1000}\ntenants:\n  - {name: staff, weight: 1, class: interactive}\n' >"$WORK/config/20-callers.yaml"
}

write_vms() { # NODES TARGETS CELLS
  awk -v nodes="$1" -v targets="$2" -v cells="$3" 'BEGIN {
    printf "{\"vms\":["
    for (n = 1; n <= nodes; n++)
      printf "{\"vmId\":\"vm-n%d\",\"name\":\"n%d\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"state\":\"LIVE\"},", n, n, 13000 + n
    for (t = 1; t <= targets; t++)
      printf "{\"vmId\":\"vm-t%d\",\"name\":\"t%d\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z%d\",\"state\":\"LIVE\"},", t, t, 15000 + t, (t - 1) % cells + 1
    printf "{\"vmId\":\"vm-s1\",\"name\":\"s1\",\"address\":\"127.0.0.1:10020\",\"zone\":\"z1\",\"state\":\"LIVE\"}]}"
  }' >"$WORK/vms.json"
}

start_node() { # NUMBER
  # shellcheck disable=SC2086
  POPLARWHARF_ADMIN_TOKEN=$TOKEN start "n$1" node --node-id "n$1" --vm-id "vm-n$1" --zone z1 \
    --listen "127.0.0.1:$((12000 + $1))" --peer "127.0.0.1:$((13000 + $1))" --admin "127.0.0.1:$((14000 + $1))" \
    --peers 127.0.0.1:13001 --log 127.0.0.1:10001 --vm-list 127.0.0.1:10003 $NODE_OPTIONS
}

start_fleet() { # NODES CELLS TARGETS MODELS ADAPTERS
  local t n links=""
  rm -f "$WORK"/*.journal "$WORK"/*.err "$WORK"/*.out
  start log standin log --listen 127.0.0.1:10001 --admin 127.0.0.1:10002 --journal "$WORK/log.journal" --appends-per-second 400
  start vms standin vms --listen 127.0.0.1:10003 --admin 127.0.0.1:10004
  # shellcheck disable=SC2086
  start engine standin engine --listen 127.0.0.1:10010 --admin 127.0.0.1:10011 ${ENGINE_OPTIONS:-}
  start service standin service --listen 127.0.0.1:10020 --admin 127.0.0.1:10021
  for t in $(seq 1 "$3"); do
    links+="${links:+,}t$t=127.0.0.1:$((15000 + t))=127.0.0.1:10010"
  done
  start proxy standin proxy --admin 127.0.0.1:10031 --links "$links"
  await_port 10001; await_port 10003; await_port 10010; await_port 10020; await_port $((15000 + $3))
  write_config "$2" "$3" "$4" "$5"
  write_vms "$1" "$3" "$2"
  curl -sf -o /dev/null -X PUT -H 'Content-Type: application/json' --data-binary "@$WORK/vms.json" http://127.0.0.1:10004/vms
  "$BIN" config publish "$WORK/config" --log 127.0.0.1:10001 >"$WORK/publish.out"
  for n in $(seq 1 "$1"); do start_node "$n"; done
  for n in $(seq 1 "$1"); do await "http://127.0.0.1:$((14000 + n))/ready"; done
}

cpu_ticks() { # PID: CPU time of the whole process, in clock ticks
  sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'
}

control_ticks() { # PID: CPU time of the control thread, in clock ticks
  { grep -l -x control /proc/"$1"/task/*/comm 2>/dev/null || true; } | head -1 | xargs dirname | xargs -I{} sed 's/.*) //' {}/stat |
    awk '{print $12 + $13}'
}

loopback_bytes() { awk '$1 == "lo:" {print $10}' /proc/net/dev; }

appends() { wc -l <"$WORK/log.journal"; }

peer_bytes() { # NODE: bytes sent and received
  admin "$1" metrics.json | jq '((.["peer_bytes.sent"].count // 0) + (.["peer_bytes.received"].count // 0))'
}

live_bytes() { # PID: live heap, after a full garbage collection
  jcmd "$1" GC.class_histogram | awk 'END {print $3}'
}

resident_kib() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

readings() { # NODES: one line per node: time, CPU time of the process and of the control thread, peer bytes
  local n pid
  for n in $(seq 1 "$1"); do
    pid=$(pid "n$n")
    echo "$(wall_millis) $(cpu_ticks "$pid") $(control_ticks "$pid") $(peer_bytes "$n")"
  done
}

# Computes each node's rates over a window without requests. Each rate uses the times at which that node was read.
idle_window() { # NODES
  local n before_lo after_lo before_appends after_appends began
  sleep "$SETTLE_SECONDS"
  readings "$1" >"$WORK/before"
  began=$(wall_millis)
  before_lo=$(loopback_bytes)
  before_appends=$(appends)
  sleep "$WINDOW_SECONDS"
  after_lo=$(loopback_bytes)
  after_appends=$(appends)
  began=$(($(wall_millis) - began))
  readings "$1" >"$WORK/after"
  for n in $(seq 1 "$1"); do
    echo "$(resident_kib "$(pid "n$n")") $(live_bytes "$(pid "n$n")")"
  done >"$WORK/memory"
  paste -d' ' "$WORK/before" "$WORK/after" "$WORK/memory" |
    awk '{s = ($5 - $1) / 1000; print ($6 - $2) / s, ($7 - $3) / s, ($8 - $4) / s, $9, $10}' >"$WORK/window"
  jq -Rn --argjson seconds "$(awk -v m="$began" 'BEGIN {print m / 1000}')" --argjson lo $((after_lo - before_lo)) --arg namespace "$IN_NAMESPACE" \
    --argjson appends $((after_appends - before_appends)) --argjson nodes "$1" '
    def mean: add / length; def round3: . * 1000 | round / 1000;
    [inputs | split(" ") | map(tonumber)] as $rows
    | def column($i; $f): [$rows[] | .[$i] * $f] | {mean: (mean | round3), min: (min | round3), max: (max | round3)};
    {
      processCpuPercentOfCore: column(0; 1), controlThreadPercentOfCore: column(1; 1),
      peerBytesPerSecond: column(2; 1), residentMiB: column(3; 1 / 1024),
      liveHeapMiB: column(4; 1 / 1048576), appendsPerSecond: ($appends / $seconds | round3),
      loopbackBytesPerSecondPerNode: (if $namespace == "yes" then ($lo / $seconds / $nodes | round3) else null end)
    }' "$WORK/window"
}

wall_millis() { date +%s%3N; }

# Measures how long published changes of a small file take to apply. Changes are published one at a time. A delay runs from
# the log's journal entry to each node's log line "config-in-force". Records of 2000 bytes or more are checkpoints and don't count.
publish_delays() { # NODES
  local i n offset marker wall nodes=$1
  wall=$(wall_millis)
  curl -sf -o /dev/null -X POST --data-binary marker http://127.0.0.1:10001/streams/marker
  wall=$(((wall + $(wall_millis)) / 2))
  marker=$(jq -s '[.[] | select(.event.stream == "marker")] | last.atMillis' "$WORK/log.journal")
  offset=$((wall - marker))
  for n in $(seq 1 "$nodes"); do wc -l <"$WORK/n$n.err" >"$WORK/n$n.skip"; done
  for i in $(seq 1 "$PUBLISHES"); do
    printf 'classes:\n  - {name: interactive, deadline: %ds, priority: 50, queueLimit: 1000}\ntenants:\n  - {name: staff, weight: 1, class: interactive}\n' $((10 + i)) >"$WORK/config/20-callers.yaml"
    "$BIN" config publish "$WORK/config" --log 127.0.0.1:10001 >>"$WORK/publish.out"
  done
  sleep 5
  jq -s --argjson offset "$offset" --argjson marker "$marker" \
    '[.[] | select(.atMillis > $marker and .event.stream == "config" and .event.sizeBytes < 2000) | .atMillis + $offset]' \
    "$WORK/log.journal" >"$WORK/accepted"
  for n in $(seq 1 "$nodes"); do
    tail -n "+$(($(cat "$WORK/n$n.skip") + 1))" "$WORK/n$n.err" |
      jq -c 'select(.event == "config-in-force") | .time | capture("(?<s>.*)\\.(?<f>[0-9]+)Z$") | ((.s + "Z" | fromdate) * 1000 + (("0." + .f) | tonumber * 1000 | floor))' |
      jq -sc .
  done >"$WORK/in-force"
  jq -s --slurpfile accepted "$WORK/accepted" --argjson publishes "$PUBLISHES" '
    def at($p): sort | .[([length * $p | ceil, 1] | max) - 1];
    $accepted[0][0:$publishes] as $a
    | [.[] as $node | range($a | length) | ($node[.] // null) as $t | select($t != null) | $t - $a[.]] as $each
    | [range($a | length) as $i | [.[][$i]] | select(all(. != null)) | max - $a[$i]] as $everywhere
    | {samples: ($each | length), expected: (length * $publishes),
       nodeMillis: {p50: ($each | at(0.5)), p99: ($each | at(0.99)), max: ($each | max)},
       everywhereMillis: {p50: ($everywhere | at(0.5)), p99: ($everywhere | at(0.99)), max: ($everywhere | max)}}' "$WORK/in-force"
}

# Kills the lease holder of c1 and measures the time until another node reports a new holder.
takeover_gaps() { # NODES
  local i holder survivor killed now
  : >"$WORK/gaps"
  for i in $(seq 1 "$KILLS"); do
    holder=$(admin "$(((i % $1) + 1))" status | jq -r '.cells[] | select(.name == "c1") | .holder')
    survivor=$(((${holder#n} % $1) + 1))
    killed=$(wall_millis)
    kill -9 "$(pid "$holder")"
    while true; do
      now=$(admin "$survivor" status | jq -r '.cells[] | select(.name == "c1") | .holder' || true)
      if [ -n "$now" ] && [ "$now" != "$holder" ]; then break; fi
      sleep 0.02
    done
    echo $(($(wall_millis) - killed)) >>"$WORK/gaps"
    start_node "${holder#n}"
    await "http://127.0.0.1:$((14000 + ${holder#n}))/ready"
    sleep 1
  done
  jq -s '{millis: ., mean: (add / length), max: max}' "$WORK/gaps"
}

# Prints the size of the largest record in the configuration streams, in bytes.
checkpoint_bytes() {
  jq -s '[.[] | select(.event.stream | startswith("config")) | .event.sizeBytes // .event.bytes] | max' "$WORK/log.journal"
}

case_line() { # NODES CELLS TARGETS MODELS ADAPTERS PUBLISH? KILL?
  local idle publish=null takeover=null
  if [ -n "$LOCK" ]; then
    exec 9>"$LOCK"
    flock 9
  fi
  start_fleet "$1" "$2" "$3" "$4" "$5"
  idle=$(idle_window "$1")
  if [ "$6" = yes ] && [ "$PUBLISHES" -gt 0 ]; then publish=$(publish_delays "$1"); fi
  if [ "$7" = yes ] && [ "$KILLS" -gt 0 ]; then takeover=$(takeover_gaps "$1"); fi
  jq -nc --argjson nodes "$1" --argjson cells "$2" --argjson targets "$3" --argjson models "$4" --argjson adapters "$5" \
    --argjson idle "$idle" --argjson publish "$publish" --argjson takeover "$takeover" --argjson largest "$(checkpoint_bytes)" \
    '{nodes: $nodes, cells: $cells, targets: $targets, models: $models, adapters: $adapters, largestConfigRecordBytes: $largest,
      idle: $idle, configurationInForce: $publish, takeover: $takeover}'
  end_all
  if [ -n "$LOCK" ]; then flock -u 9; fi
}

# Measures latency and CPU time of service calls sent to the target directly, to the holder and to a node that isn't the holder.
traffic_line() { # RATE
  local holder other number probe rate=$1
  declare -A before=()
  holder=$(admin 1 status | jq -r '.cells[] | select(.name == "c1") | .holder')
  other=n$(((${holder#n} % 3) + 1))
  for number in 1 2 3; do
    before[n$number]="$(cpu_ticks "$(pid "n$number")") $(control_ticks "$(pid "n$number")")"
  done
  probe=$("$BIN" probe --rate "$rate" --warm-up 5s --duration 15s --targets "direct=http://127.0.0.1:10020/echo,holder=http://127.0.0.1:$((12000 + ${holder#n}))/services/echo/echo,other=http://127.0.0.1:$((12000 + ${other#n}))/services/echo/echo")
  for number in 1 2 3; do
    echo "$number ${before[n$number]} $(cpu_ticks "$(pid "n$number")") $(control_ticks "$(pid "n$number")")"
  done >"$WORK/cpu"
  jq -Rn --argjson rate "$rate" --argjson probe "$probe" --argjson holder "${holder#n}" --argjson other "${other#n}" '
    def round3: . * 1000 | round / 1000;
    [inputs | split(" ") | map(tonumber)] as $rows
    | def used($n): $rows[] | select(.[0] == $n) | {processSeconds: ((.[3] - .[1]) / 100), controlSeconds: ((.[4] - .[2]) / 100)};
    {ratePerSecondEach: $rate, probe: $probe, secondsOfProbe: 20, holder: used($holder), other: used($other),
     bystander: used(6 - $holder - $other)}' "$WORK/cpu"
}

# Measures heap and resident memory of a node by number of open connections, each of which has carried one request.
connection_lines() {
  local pid count=0 wanted fd
  declare -a open=()
  pid=$(pid n1)
  ulimit -n "$(ulimit -Hn)"
  for wanted in 0 500 1000 2000; do
    while [ "$count" -lt "$wanted" ]; do
      exec {fd}<>/dev/tcp/127.0.0.1/12001
      printf 'GET /services/echo/echo HTTP/1.1\r\nHost: n1\r\nConnection: keep-alive\r\n\r\n' >&"$fd"
      read -r -t 5 _ <&"$fd" || true
      open+=("$fd")
      count=$((count + 1))
    done
    jq -nc --argjson connections "$(ss -Htn state established "( sport = :12001 )" | wc -l)" --argjson heap "$(live_bytes "$pid")" --argjson resident "$(resident_kib "$pid")" \
      '{openConnections: $connections, liveHeapBytes: $heap, residentKiB: $resident}'
  done
  for fd in "${open[@]}"; do exec {fd}>&-; done
}

complete() { # NODE TOKENS: prints the number of tokens received
  curl -sN -m 60 -H 'Content-Type: application/json' -H 'X-Deadline-Millis: 50000' \
    -d "{\"model\":\"model-1\",\"stream\":true,\"max_tokens\":$2,\"messages\":[{\"role\":\"user\",\"content\":\"hello $RANDOM\"}]}" \
    "http://127.0.0.1:$((12000 + $1))/v1/chat/completions" | grep -c '"content"' || true
}

# Measures the entry node's CPU time for streamed tokens with a given number of concurrent streams.
stream_line() { # STREAMS
  local holder entry before after i tokens started ended
  holder=$(admin 1 status | jq -r '.cells[] | select(.name == "c1") | .holder')
  entry=$(((${holder#n} % 3) + 1))
  : >"$WORK/tokens"
  before=$(cpu_ticks "$(pid "n$entry")")
  started=$(date +%s%3N)
  declare -a clients=()
  for i in $(seq 1 "$1"); do
    complete "$entry" 6000 >>"$WORK/tokens" &
    clients+=($!)
  done
  wait "${clients[@]}"
  ended=$(date +%s%3N)
  after=$(cpu_ticks "$(pid "n$entry")")
  tokens=$(awk '{sum += $1} END {print sum}' "$WORK/tokens")
  jq -nc --argjson streams "$1" --argjson tokens "$tokens" --argjson ticks $((after - before)) --argjson millis $((ended - started)) \
    '{streams: $streams, tokens: $tokens, seconds: ($millis / 1000), tokensPerSecond: ($tokens / $millis * 1000 | round),
      entryProcessSeconds: ($ticks / 100), entryMicrosPerToken: ($ticks * 10000 / $tokens * 10 | round / 10)}'
}

stream_section() {
  local streams
  if [ -n "$LOCK" ]; then
    exec 9>"$LOCK"
    flock 9
  fi
  ENGINE_OPTIONS="--token 1ms --max-running 64" start_fleet 3 1 1 30 60
  sleep 5
  complete 1 10 >/dev/null
  stream_line 8 >/dev/null
  for streams in ${SIZES:-4 8 16}; do stream_line "$streams"; done
  end_all
  if [ -n "$LOCK" ]; then flock -u 9; fi
}

traffic_section() {
  local rate
  if [ -n "$LOCK" ]; then
    exec 9>"$LOCK"
    flock 9
  fi
  start_fleet 3 1 2 30 60
  sleep "$SETTLE_SECONDS"
  for rate in ${SIZES:-50 200 800}; do traffic_line "$rate"; done
  connection_lines
  end_all
  if [ -n "$LOCK" ]; then flock -u 9; fi
}

section() { # NAME; reads JSON lines from standard input
  jq -s --arg command "scripts/measure-capacity.sh $1" --arg day "$(date -u +%F)" \
    --arg load "$(cut -d' ' -f1 /proc/loadavg)" --argjson cores "$(nproc)" --arg java "${POPLARWHARF_JAVA_OPTIONS:-}" \
    '{command: $command, day: $day, cores: $cores, loadAverageAtEnd: ($load | tonumber), javaOptions: $java, cases: .}' \
    >"$OUT/$1.json"
  echo "wrote $OUT/$1.json" >&2
}

run() {
  case $1 in
    nodes) for n in ${SIZES:-3 9 27}; do case_line "$n" 3 8 30 60 yes yes; done | section nodes ;;
    cells) for c in ${SIZES:-1 8 24}; do case_line 3 "$c" 24 30 60 no no; done | section cells ;;
    targets) for t in ${SIZES:-8 32 100}; do case_line 3 3 "$t" 30 60 no no; done | section targets ;;
    models) for m in ${SIZES:-30 300 1300}; do case_line 3 3 8 "$m" $((m * 66 / 13)) yes no; done | section models ;;
    traffic) traffic_section | section traffic ;;
    stream) stream_section | section stream ;;
    small) POPLARWHARF_JAVA_OPTIONS="-Xmx64m" case_line 3 3 8 1300 6600 yes no | section small ;;
    *)
      echo "unknown section $1" >&2
      exit 2
      ;;
  esac
}

mkdir -p "$OUT"
for name in ${@:-nodes cells targets models small traffic stream}; do run "$name"; done
