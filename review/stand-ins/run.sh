#!/bin/bash
# Usage: run.sh KIND FOLDER
# Two gateways, four runners and a store on loopback; KIND is plain or stream.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
KIND=$1
RECORD=$PWD/$2/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d) || exit 2
PIDS=()
finish() {
  kill -KILL "${PIDS[@]}" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap finish EXIT
[ -f target/start-cached.cjs ] && [ -f target/review/driver.cjs ] || exit 2
read -r -a P < <(node target/review/ports.cjs 16)
[ ${#P[@]} = 16 ] || exit 2

# The store's objects.
SERVICE=amaranth-pool
ROUTE='"kind": "streaming", "resumeStreams": true, "gapTargetMs": 1500, "timeoutMs": 20000, "targetLatencyMs": 2000, "maxAttempts": 3'
if [ "$KIND" = plain ]; then
  SERVICE=roster-core
  ROUTE='"kind": "non_idempotent", "timeoutMs": 5000, "targetLatencyMs": 500, "maxAttempts": 1'
fi
{
  echo '{"config": {"main": {"version": 3,'
  echo "\"routes\": [{\"name\": \"review\", \"host\": \"review.example\", \"pathPrefix\": \"/$KIND/\", $ROUTE, \"priority\": 1, \"service\": \"$SERVICE\"}],"
  echo "\"services\": [{\"name\": \"$SERVICE\", \"healthCheckPath\": \"/health\", \"connectionLimit\": 96, \"coldStartS\": 0, \"coldPerS\": 0}],"
  echo '"limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},'
  echo '"tenants": [{"name": "one", "apiKeys": ["key-one"]}]}},'
  echo '"servers": {'
  for i in 0 1 2 3; do
    [ $i = 0 ] || echo ','
    echo "\"i-$i\": {\"service\": \"$SERVICE\", \"address\": \"127.0.0.1:${P[$((12 + i))]}\", \"zone\": \"bizerte\", \"version\": \"v1\", \"slots\": 6, \"state\": \"ready\", \"coldRemainingMs\": 0, \"sequence\": 1, \"born\": 1796000000000}"
  done
  echo '}}'
} > "$WORK/objects.json"

node target/review/store.cjs "${P[0]}" "$WORK/objects.json" & PIDS+=($!)
for i in 0 1 2 3; do
  node target/review/runner.cjs "${P[$((12 + i))]}" i-$i "$KIND" "$RECORD" & PIDS+=($!)
done

# Settings as the template gives them for the bounds of sites/ctrte-roster.toml.
settings() { # NAME FRONT READY DIRECTORY PEERS
  cat <<SETTINGS
seeds = ["127.0.0.1:${P[4]}", "127.0.0.1:${P[8]}"]
bootstrap = true
session_s = 5
address_max_age_s = 5
[instance]
id = "$1"
zone = "bizerte"
region = "tn-nord"
[zones]
"bizerte" = "tn-nord"
[listen]
callers = "127.0.0.1:$2"
readiness = "127.0.0.1:$3"
directory = "127.0.0.1:$4"
peers = "127.0.0.1:$5"
[store]
address = "127.0.0.1:${P[0]}"
writes_per_second = 400
reads_per_second = 2000
[change]
configuration_ms = 2000
leaving_ms = 2000
evacuation_ms = 5000
revocation_ms = 5000
stop_grace_s = 8
stability_ms = 3000
[retry]
ratio = 0.9
slack = 52
window_s = 10
[exposure]
share = 0.15
slack = 30
rollback_ms = 5000
[cold]
overrun = 1.5
slack = 5
[limits]
memory_mb = 350
file_descriptors = 4100
cores = 1
core_share = 0.675
SETTINGS
}
settings front-1 "${P[1]}" "${P[2]}" "${P[3]}" "${P[4]}" > "$WORK/front-1.toml"
settings front-2 "${P[5]}" "${P[6]}" "${P[7]}" "${P[8]}" > "$WORK/front-2.toml"
for i in 1 2; do
  FRONT=${P[$((4 * i - 3))]}
  AMARANTHKNOT_CALLERS=127.0.0.1:$FRONT AMARANTHKNOT_CONFIG=$WORK/front-$i.toml \
    node --no-memory-reducer target/start-cached.cjs gateway > "$WORK/front-$i.log" 2>&1 & PIDS+=($!)
done

timeout 90 node target/review/driver.cjs "$KIND" "$TROUBLE" "$RECORD" \
  "127.0.0.1:${P[1]},127.0.0.1:${P[5]}" "127.0.0.1:${P[2]},127.0.0.1:${P[6]}"
CODE=$?
[ -n "$KEEP_LOGS" ] && cp "$WORK"/*.log "$KEEP_LOGS"
[ $CODE = 0 ] || [ $CODE = 1 ] || CODE=2
exit $CODE
