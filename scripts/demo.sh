#!/usr/bin/env bash
# A small fleet on this machine that serves real requests: four routers in two
# failure domains, four engines, two plain services, four organisations.
# KEEP=1 leaves the fleet up and prints its addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

export DIR=${DIR:-out/demo} PORT_BASE=${PORT_BASE:-8000}
export ROUTERS=4 DOMAINS=2 ENGINES=4 PLAIN=2 ORGANISATIONS=4 LARGE=1
KEEP=${KEEP:-}
HOST=127.0.0.1

finish() {
	status=$?
	if [ -n "$KEEP" ] && [ "$status" -eq 0 ]; then
		echo
		echo "The fleet is up: routers at $HOST:$((PORT_BASE + 101)) to $((PORT_BASE + 104)),"
		echo "admin ports at $((PORT_BASE + 301)) to $((PORT_BASE + 304))."
		echo "Stop it with: DIR=$DIR scripts/fleet.sh down"
		return
	fi
	scripts/fleet.sh down || status=1
	exit "$status"
}

router() { echo "$HOST:$((PORT_BASE + 100 + $1))"; }
admin() { echo "$HOST:$((PORT_BASE + 300 + $1))"; }

# words prints the text of a stream of server-sent events and its end.
words() {
	local line
	while IFS= read -r line; do
		if [[ $line == "data: [DONE]"* ]]; then
			printf ' [whole]'
		elif [[ $line =~ \"(content|message)\":\ ?\"([^\"]*)\" ]]; then
			printf '%s' "${BASH_REMATCH[2]}"
		fi
	done
	echo
}

# ask ROUTER ORGANISATION TEXT sends a model request and prints its answer.
ask() {
	echo "--- $2 asks through r$1: $3"
	curl -sfN --max-time 20 -D "$DIR/headers.r$1" "http://$(router "$1")/v1/chat/completions" \
		-H "Authorization: Bearer example-key-$2" -H 'Content-Type: application/json' \
		-d "{\"model\":\"assistant-1\",\"stream\":true,\"max_tokens\":12,\"messages\":[{\"role\":\"user\",\"content\":\"$3\"}]}" |
		words
}

# book ROUTER ORGANISATION KEY BODY sends a booking, which runs at most once.
book() {
	echo "--- $2 books through r$1 with the key $3"
	curl -sS --max-time 20 -D "$DIR/headers" "http://$(router "$1")/booking/reserve" \
		-H "Authorization: Bearer example-key-$2" -H "Idempotency-Key: $3" -d "$4"
	echo
	grep -i '^jujubeford-' "$DIR/headers" | tr -d '\r' || true
}

trap finish EXIT
echo "Starting the fleet."
scripts/fleet.sh up

echo
echo "Model requests, streamed token by token:"
ask 1 org-0001 "Which kiosk has a charged pack?"
ask 2 org-0002 "How long will the amp last?"
ask 3 org-0003 "Does the permit clear?"
ask 4 org-0004 "Where may I play at noon?"

echo
echo "Plain requests; the second sending of a key must not run again:"
key=demo-$(date +%s%N)
book 1 org-0001 "$key" '{"kiosk":7}'
book 3 org-0001 "$key" '{"kiosk":7}'
book 2 org-0002 "$key-b" '{"kiosk":9}'

echo
echo "A few seconds of load from all organisations:"
bin/loadgen run -fleet "$DIR/fleet.yaml" -scenario scenarios/demo.yaml -o "$DIR/demo.json"

# request_id FILE prints the id that an answer carried.
request_id() { tr -d '\r' <"$1" | sed -n 's/^[Jj]ujubeford-[Rr]equest-[Ii]d: *//p'; }

echo
echo "The fleet as r4 knows it:"
bin/jujubeford status -admin "$(admin 4)"

id=$(request_id "$DIR/headers.r1")
echo
echo "What became of the first request, which r1 took in, asked of r3:"
bin/jujubeford explain -admin "$(admin 3)" "$id"

echo
echo "Service-level burn over the fleet, asked of r4:"
bin/jujubeford report -admin "$(admin 4)"
bin/jujubeford report -admin "$(admin 4)" -o html >"$DIR/report.html"
echo
echo "The same as a page: $DIR/report.html"
