#!/usr/bin/env bash
# A fleet on this machine: the platform, engines, plain services and routers as
# plain processes on loopback ports.
#
#   scripts/fleet.sh up            start all and wait until every router is ready
#   scripts/fleet.sh down          stop what up started, by the ids it wrote
#   scripts/fleet.sh tend SECONDS  for so long, replace each router that is gone
#   scripts/fleet.sh roll PROGRAM NAME...  stop these routers one by one, and start
#                                  each with PROGRAM before the next is stopped
#
# Settings come from the environment; see the defaults below. Names, addresses
# and ids are written to $DIR, and $DIR/fleet.yaml is what loadgen reads.
set -euo pipefail
cd "$(dirname "$0")/.."

DIR=${DIR:-out/fleet}
POLICY=${POLICY:-owner}
ROUTERS=${ROUTERS:-8}
DOMAINS=${DOMAINS:-4}
ENGINES=${ENGINES:-12}
PLAIN=${PLAIN:-4}
SLOTS=${SLOTS:-8}
TOKEN_TIME=${TOKEN_TIME:-25ms}
# LOAD_FACTOR is by how much a full engine is slower; with 0 its capacity is
# known exactly.
LOAD_FACTOR=${LOAD_FACTOR:-0}
ORGANISATIONS=${ORGANISATIONS:-16}
LARGE=${LARGE:-3}
# PROGRAM is the router's program; it lies under bin/.
PROGRAM=${PROGRAM:-bin/jujubeford}
# CONFIG names a configuration to submit in place of loadgen's own.
CONFIG=${CONFIG:-}
# RELAYS=1 puts relays between routers and before the platform, so that loadgen
# can cut a failure domain off.
RELAYS=${RELAYS:-}
# All ports lie between PORT_BASE and PORT_BASE + 1999.
PORT_BASE=${PORT_BASE:-8000}
READY_SECONDS=${READY_SECONDS:-20}
STOP_SECONDS=${STOP_SECONDS:-20}
# REPLACE_AFTER is how long a router stays away before tend replaces it.
REPLACE_AFTER=${REPLACE_AFTER:-2}

HOST=127.0.0.1
STORE=$HOST:$((PORT_BASE + 500))
STORE_CONTROL=$HOST:$((PORT_BASE + 600))
RELAY=$HOST:$((PORT_BASE + 690))
LETTERS=abcdefgh

domain() { echo "ga-east/${LETTERS:$1:1}"; }

# start NAME COMMAND... runs a command in the background and keeps its id, its
# log and, for tend, the command itself.
start() {
	local name=$1
	shift
	printf '%q ' "$@" >"$DIR/$name.command"
	"$@" >>"$DIR/$name.log" 2>&1 </dev/null &
	echo $! >"$DIR/$name.pid"
}

# running NAME tells whether the process of that id is still ours.
running() {
	local pid
	pid=$(cat "$DIR/$1.pid" 2>/dev/null) || return 1
	case "$(readlink "/proc/$pid/exe" 2>/dev/null)" in
	"$PWD"/bin/*) return 0 ;;
	*) return 1 ;;
	esac
}

# wait_for SECONDS COMMAND... repeats a command until it succeeds.
wait_for() {
	local tries=$(($1 * 10))
	shift
	while ! "$@"; do
		tries=$((tries - 1))
		[ "$tries" -gt 0 ] || return 1
		sleep 0.1
	done
}

answers() { curl -s -o /dev/null --max-time 1 "http://$1"; }
ready() { curl -sf -o /dev/null --max-time 1 "http://$1/readyz"; }
gone() { ! running "$1"; }

# lists ADMIN COUNT tells whether a router knows that many upstreams; the
# platform's list lags.
lists() {
	local known
	known=$(curl -sf --max-time 1 "http://$1/v1/status" | grep -o '"service":' | wc -l) || true
	[ "$known" -ge "$2" ]
}

fail() {
	echo "fleet: $*" >&2
	exit 1
}

# share COUNT D is how many of COUNT instances stand in domain D.
share() { echo $(($1 / DOMAINS + ($2 < $1 % DOMAINS ? 1 : 0))); }

# start_upstreams KIND COUNT SERVICE PREFIX PORT CONTROL FLAG... starts a process
# for each failure domain.
start_upstreams() {
	local kind=$1 count=$2 service=$3 prefix=$4 port=$5 control=$6 d n first=0
	shift 6
	for ((d = 0; d < DOMAINS; d++)); do
		n=$(share "$count" "$d")
		[ "$n" -gt 0 ] || continue
		start "$kind-${LETTERS:$d:1}" bin/standin "$kind" \
			-count "$n" -name "$prefix${LETTERS:$d:1}" \
			-service "$service" -domain "$(domain "$d")" \
			-listen "$HOST:$((port + first))" \
			-control "$HOST:$((control + d))" \
			-platform "$STORE" "$@"
		first=$((first + n))
	done
}

# list_upstreams COUNT PREFIX CONTROL writes their part of the fleet file.
list_upstreams() {
	local count=$1 prefix=$2 control=$3 d n i name
	for ((d = 0; d < DOMAINS; d++)); do
		n=$(share "$count" "$d")
		for ((i = 1; i <= n; i++)); do
			name=$prefix${LETTERS:$d:1}
			[ "$n" -eq 1 ] || name+=-$i
			echo "  - {name: $name, domain: $(domain "$d"), control: '$HOST:$((control + d))'}"
		done
	done
}

# peer_address N and store_address N are where router N is reached by others and
# where it reaches the platform.
peer_address() { echo "$HOST:$((PORT_BASE + (${RELAYS:-0} ? 400 : 200) + $1))"; }
store_address() {
	if [ -n "$RELAYS" ]; then
		echo "$HOST:$((PORT_BASE + 700 + $1))"
	else
		echo "$STORE"
	fi
}

start_routers() {
	local i peers=""
	# A few peers are enough to find the others.
	for ((i = 1; i <= ROUTERS && i <= 8; i++)); do
		peers+="${peers:+,}$(peer_address "$i")"
	done
	for ((i = 1; i <= ROUTERS; i++)); do
		start "r$i" "$PROGRAM" router -name "r$i" \
			-domain "$(domain $(((i - 1) % DOMAINS)))" \
			-listen "$HOST:$((PORT_BASE + 100 + i))" \
			-peer-listen "$HOST:$((PORT_BASE + 200 + i))" \
			-admin-listen "$HOST:$((PORT_BASE + 300 + i))" \
			-peer-advertise "$(peer_address "$i")" \
			-store "$(store_address "$i")" -cluster-key "$DIR/cluster.key" \
			-peers "$peers" -policy "$POLICY" -routers "$ROUTERS"
	done
}

write_fleet() {
	local i
	{
		echo "policy: $POLICY"
		echo "slots: $SLOTS"
		echo "token_time: $TOKEN_TIME"
		echo "store: $STORE"
		[ -z "$RELAYS" ] || echo "relay: $RELAY"
		echo "routers:"
		for ((i = 1; i <= ROUTERS; i++)); do
			echo "  - {name: r$i, domain: $(domain $(((i - 1) % DOMAINS)))," \
				"addr: '$HOST:$((PORT_BASE + 100 + i))'," \
				"admin: '$HOST:$((PORT_BASE + 300 + i))'," \
				"peer: '$HOST:$((PORT_BASE + 200 + i))'," \
				"peer_relay: '$(peer_address "$i")'," \
				"store_relay: '$(store_address "$i")'," \
				"pid_file: $DIR/r$i.pid}"
		done
		echo "engines:"
		list_upstreams "$ENGINES" e $((PORT_BASE + 1500))
		echo "plain:"
		list_upstreams "$PLAIN" p $((PORT_BASE + 1700))
	} >"$DIR/fleet.yaml"
}

submit_config() {
	if [ -z "$CONFIG" ]; then
		bin/loadgen config -organisations "$ORGANISATIONS" -large "$LARGE" \
			-slots "$SLOTS" >"$DIR/config.yaml"
		CONFIG=$DIR/config.yaml
	fi
	"$PROGRAM" config submit -store "$STORE" "$CONFIG" >"$DIR/submit.log" 2>&1 ||
		fail "the configuration was not accepted: $(cat "$DIR/submit.log")"
}

up() {
	command -v curl >/dev/null || fail "curl is needed"
	[ ! -e "$DIR/platform.pid" ] || fail "$DIR is in use; run down first"
	# Another fleet's platform would take this one's configuration.
	! answers "$STORE/v1/kv/?keys" || fail "another platform answers at $STORE; choose another PORT_BASE"
	mkdir -p "$DIR"
	rm -f "$DIR"/*.log
	(umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$DIR/cluster.key")
	start platform bin/standin platform -listen "$STORE" -control "$STORE_CONTROL"
	wait_for "$READY_SECONDS" answers "$STORE/v1/kv/?keys" || fail "the platform does not answer"
	running platform || fail "platform has ended; see $DIR/platform.log"
	start_upstreams engine "$ENGINES" assistant e $((PORT_BASE + 1000)) \
		$((PORT_BASE + 1500)) -slots "$SLOTS" -token-time "$TOKEN_TIME" \
		-load-factor "$LOAD_FACTOR"
	start_upstreams plain "$PLAIN" booking p $((PORT_BASE + 1200)) $((PORT_BASE + 1700))
	submit_config
	write_fleet
	if [ -n "$RELAYS" ]; then
		start relay bin/loadgen relay -fleet "$DIR/fleet.yaml"
		wait_for "$READY_SECONDS" answers "$RELAY/" || fail "the relays do not answer"
	fi
	start_routers
	local i admin name
	for ((i = 1; i <= ROUTERS; i++)); do
		admin=$HOST:$((PORT_BASE + 300 + i))
		wait_for "$READY_SECONDS" ready "$admin" || fail "r$i is not ready; see $DIR/r$i.log"
		wait_for "$READY_SECONDS" lists "$admin" $((ENGINES + PLAIN)) ||
			fail "r$i does not know all upstreams"
	done
	# A port that is taken shows as a process that is gone.
	for name in $(names '*'); do
		running "$name" || fail "$name has ended; see $DIR/$name.log"
	done
	echo "fleet: $ROUTERS routers in $DOMAINS failure domains are ready, policy $POLICY"
}

# stop NAME... asks each process to stop, then ends those that do not.
stop() {
	local name
	for name in "$@"; do
		running "$name" && kill -TERM "$(cat "$DIR/$name.pid")" 2>/dev/null || true
	done
	for name in "$@"; do
		if ! wait_for "$STOP_SECONDS" gone "$name"; then
			echo "fleet: $name did not stop in $STOP_SECONDS s" >&2
			kill -KILL "$(cat "$DIR/$name.pid")" 2>/dev/null || true
		fi
		rm -f "$DIR/$name.pid" "$DIR/$name.command"
	done
}

names() {
	local file
	for file in "$DIR"/$1.pid; do
		[ -e "$file" ] && basename "$file" .pid
	done
	return 0
}

down() {
	# Routers first, so that they can finish what they have.
	# shellcheck disable=SC2046
	stop $(names 'r*')
	# shellcheck disable=SC2046
	stop $(names '*')
}

tend() {
	local end=$((SECONDS + $1)) name
	while [ "$SECONDS" -lt "$end" ]; do
		for name in $(names 'r*'); do
			if gone "$name" && [ -e "$DIR/$name.command" ]; then
				sleep "$REPLACE_AFTER"
				eval "start $name $(cat "$DIR/$name.command")"
				echo "fleet: $name was replaced"
			fi
		done
		sleep 0.2
	done
}

roll() {
	local program=$1 name command
	shift
	for name in "$@"; do
		command=$(cat "$DIR/$name.command")
		stop "$name"
		eval "start $name $program ${command#* }"
		wait_for "$READY_SECONDS" ready "$HOST:$((PORT_BASE + 300 + ${name#r}))" ||
			fail "$name is not ready; see $DIR/$name.log"
		running "$name" || fail "$name has ended; see $DIR/$name.log"
		echo "fleet: $name runs $program"
	done
}

case "${1:-}" in
up) up ;;
down) down ;;
tend) tend "${2:?SECONDS}" ;;
roll)
	shift
	roll "${@:?PROGRAM}"
	;;
*) fail "use: fleet.sh up | down | tend SECONDS | roll PROGRAM NAME..." ;;
esac
