# Functions that start and stop a site on loopback. Sourced by the other scripts.
#
#   site_make DIR      creates keys, settings and lists below DIR
#   site_start DIR     starts the stand-ins and hosts; writes process ids to
#                      DIR/standins.pids and DIR/HOST/pid
#   site_host DIR ID   starts one host
#   site_stop DIR      stops the processes that site_start started, by process id
#
# Set SITE_BIN (folder of the programs) before site_make. Optional: SITE_PORT
# (first port), SITE_DOMAINS, SITE_HOSTS and SITE_UPSTREAMS (per domain),
# SITE_STORES, SITE_CAPACITY, SITE_PREFILL, SITE_TOKEN_MS, SITE_CACHE_PIECES,
# SITE_LINK, SITE_POLICY, SITE_LISTS.

: "${SITE_DOMAINS:=a b c}" "${SITE_UPSTREAMS:=2}" "${SITE_CAPACITY:=8}"
: "${SITE_PREFILL:=16000}" "${SITE_TOKEN_MS:=2}" "${SITE_CACHE_PIECES:=64}"
: "${SITE_LINK:=20000000}" "${SITE_POLICY:=predicted}" "${SITE_PORT:=18000}"
: "${SITE_LISTS:=}" "${SITE_STORES:=2}" "${SITE_HOSTS:=2}"

SITE_OPERATOR_TOKEN=operator-demo-token
SITE_ANNOUNCE_TOKEN=announce-demo-token
SITE_KEYS=key-one,key-two

site_hosts() {
  local d i
  for d in $SITE_DOMAINS; do
    for i in $(seq 1 "$SITE_HOSTS"); do echo "$d$i"; done
  done | xargs
}
site_domain() { echo "${1%%[0-9]*}"; }
site_is_voter() { [ "${1#"$(site_domain "$1")"}" = 1 ]; } # one per domain
site_index() { # HOST: prints its index, from 0
  local i=0 h
  for h in $(site_hosts); do
    [ "$h" = "$1" ] && { echo $i; return; }
    i=$((i + 1))
  done
}
site_callers() { echo "127.0.0.1:$((SITE_PORT + $(site_index "$1")))"; }
site_operators() { echo "127.0.0.1:$((SITE_PORT + 100 + $(site_index "$1")))"; }
site_control() { echo "127.0.0.1:$((SITE_PORT + 200 + $(site_index "$1")))"; }
site_join() { local IFS=,; echo "$*"; }
site_caller_urls() {
  site_join $(for h in $(site_hosts); do echo "http://$(site_callers "$h")"; done)
}
site_operator_urls() {
  site_join $(for h in $(site_hosts); do echo "http://$(site_operators "$h")"; done)
}
site_upstream_urls() {
  site_join $(for i in $(seq 0 $(($(site_upstream_count) - 1))); do
    echo "http://127.0.0.1:$((SITE_PORT + 300 + i))"; done)
}
site_upstream_count() { echo $(($(echo $SITE_DOMAINS | wc -w) * SITE_UPSTREAMS)); }
site_store_urls() {
  site_join $(for i in $(seq 0 $((SITE_STORES - 1))); do
    echo "http://127.0.0.1:$((SITE_PORT + 500 + i))"; done)
}
site_service_url() { echo "http://127.0.0.1:$((SITE_PORT + 600))"; }

site_lists() { # DIR: writes the default lists
  local dir=$1
  mkdir -p "$dir/lists"
  cat >"$dir/lists/customers.json" <<J
{"customers": {
  "hail": {"plan": "standard", "key_digests": ["$("$SITE_BIN/endivecart" digest key-one)"]},
  "permit": {"plan": "standard", "key_digests": ["$("$SITE_BIN/endivecart" digest key-two)"]}}}
J
  cat >"$dir/lists/plans.json" <<J
{"plans": {"standard": {"weight": 1, "requests_per_s": 1000, "burst": 2000,
  "concurrent": 600, "max_queue": 500, "models": ["quill"],
  "services": ["orders"], "classes": ["quote", "caption"],
  "cache_floor_bytes": 1000000}},
 "classes": {"quote": {"priority": 1, "deadline_ms": 20000},
             "caption": {"priority": 0, "deadline_ms": 10000}}}
J
  cat >"$dir/lists/models.json" <<J
{"models": {"quill": {"version": "v1"}}}
J
  cat >"$dir/lists/services.json" <<J
{"services": {"orders": {"backends": [
  {"url": "$(site_service_url)", "domain": "a"}]}}}
J
}

site_make() {
  local dir=$1 h d keys entries="" stores="" i=0 first
  mkdir -p "$dir"
  if [ -n "$SITE_LISTS" ]; then cp -r "$SITE_LISTS" "$dir/lists"; else site_lists "$dir"; fi
  for h in $(site_hosts); do
    mkdir -p "$dir/$h"
    keys=$("$SITE_BIN/endivecart" keygen)
    echo "$keys" | sed -n 's/^secret //p' >"$dir/$h/secret.key"
    first=false
    site_is_voter "$h" && first=true
    entries+="${entries:+,}{\"id\": \"$h\", \"domain\": \"$(site_domain "$h")\", \"control\": \"$(site_control "$h")\",
 \"public_key\": \"$(echo "$keys" | sed -n 's/^public //p')\", \"voter\": $first}"
  done
  for d in $SITE_DOMAINS; do
    [ $i -lt "$SITE_STORES" ] || break
    stores+="${stores:+,}{\"id\": \"s$i\", \"domain\": \"$d\", \"url\": \"http://127.0.0.1:$((SITE_PORT + 500 + i))\",
 \"link_bytes_per_s\": $SITE_LINK, \"capacity_bytes\": 1000000000}"
    i=$((i + 1))
  done
  for h in $(site_hosts); do
    first=""
    site_is_voter "$h" && first="\"data_folder\": \"$dir/$h/data\","
    cat >"$dir/$h/settings.json" <<J
{"host": "$h", "domain": "$(site_domain "$h")",
 "listen": {"callers": "$(site_callers "$h")", "operators": "$(site_operators "$h")",
            "control": "$(site_control "$h")"},
 $first
 "secret_key_file": "secret.key", "lists": "../lists",
 "operator_token_digest": "$("$SITE_BIN/endivecart" digest $SITE_OPERATOR_TOKEN)",
 "announce_token_digest": "$("$SITE_BIN/endivecart" digest $SITE_ANNOUNCE_TOKEN)",
 "log": {"file": "$dir/$h/log.txt"},
 "limits": {"max_connections": 900},
 "hosts": [$entries],
 "stores": [$stores]}
J
  done
  echo $SITE_OPERATOR_TOKEN >"$dir/token"
}

site_host() { # DIR ID [ARGUMENTS of endivecartd...]
  local dir=$1 h=$2
  shift 2
  "$SITE_BIN/endivecartd" --settings "$dir/$h/settings.json" --policy "$SITE_POLICY" \
    "$@" >>"$dir/$h/out.txt" 2>&1 &
  echo $! >"$dir/$h/pid"
}

site_standins() {
  local dir=$1 d i=0 n announce
  : >"$dir/standins.pids"
  for d in $SITE_DOMAINS; do
    announce=$(site_join $(for n in $(seq 1 "$SITE_HOSTS"); do
      echo "http://$(site_operators "$d$n")"; done))
    for n in $(seq 1 "$SITE_UPSTREAMS"); do
      "$SITE_BIN/endivecart-standin" upstream --listen "127.0.0.1:$((SITE_PORT + 300 + i))" \
        --id "$d-u$n" --domain "$d" --capacity "$SITE_CAPACITY" --prefill-rate "$SITE_PREFILL" \
        --token-ms "$SITE_TOKEN_MS" --cache-pieces "$SITE_CACHE_PIECES" \
        --announce "$announce" \
        --announce-token $SITE_ANNOUNCE_TOKEN >>"$dir/standins.txt" 2>&1 &
      echo $! >>"$dir/standins.pids"
      i=$((i + 1))
    done
  done
  for i in $(seq 0 $((SITE_STORES - 1))); do
    "$SITE_BIN/endivecart-standin" store --listen "127.0.0.1:$((SITE_PORT + 500 + i))" \
      --link-rate "$SITE_LINK" >>"$dir/standins.txt" 2>&1 &
    echo $! >>"$dir/standins.pids"
  done
  "$SITE_BIN/endivecart-standin" service --listen "127.0.0.1:$((SITE_PORT + 600))" \
    --journal "$dir/journal.txt" >>"$dir/standins.txt" 2>&1 &
  echo $! >>"$dir/standins.pids"
}

site_start() {
  local dir=$1 h
  site_standins "$dir"
  for h in $(site_hosts); do
    if [ -f "$dir/$h/founded" ]; then site_host "$dir" "$h"; else
      site_host "$dir" "$h" --found-site
      : >"$dir/$h/founded"
    fi
  done
}

site_ready() { # DIR: waits until every host is fresh and lists all upstreams
  local dir=$1 h i
  for i in $(seq 1 300); do
    local good=0
    for h in $(site_hosts); do
      [ "$("$SITE_BIN/endivecart" --operators "http://$(site_operators "$h")" \
        --token-file "$dir/token" upstreams 2>/dev/null | wc -l)" = "$(site_upstream_count)" ] &&
        "$SITE_BIN/endivecart" --operators "http://$(site_operators "$h")" \
          --token-file "$dir/token" status 2>/dev/null | grep -q ' fresh ' && good=$((good + 1))
    done
    [ $good = "$(site_hosts | wc -w)" ] && return 0
    sleep 0.1
  done
  echo "the site is not ready after 30 s" >&2
  return 1
}

site_cli() { # DIR ARGUMENTS of endivecart...
  local dir=$1
  shift
  "$SITE_BIN/endivecart" --operators "$(site_operator_urls)" --token-file "$dir/token" "$@"
}

site_stop() { # DIR; safe under `set -e` if a process has already exited
  local dir=$1 h p
  for h in $(site_hosts); do
    [ ! -f "$dir/$h/pid" ] || kill -TERM "$(cat "$dir/$h/pid")" 2>/dev/null || true
  done
  for h in $(site_hosts); do
    [ -f "$dir/$h/pid" ] || continue
    p=$(cat "$dir/$h/pid")
    for _ in $(seq 1 100); do
      kill -0 "$p" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$p" 2>/dev/null || true
  done
  for p in $(cat "$dir/standins.pids" 2>/dev/null); do
    kill -KILL "$p" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
