# Seven entry instances in the four data centres of the Andino example, with
# one port of the platform's stand-in for each data centre; source it after
# common.sh with $build set.

dcs=(cc1 cc1 cc2 cc2 cc3 cc3 cc4)
ports=(7000 7000 7001 7001 7002 7002 7003)
seeds="e1:cc1:1 e3:cc2:3 e5:cc3:5 e7:cc4:7"

servers()
{
	local first=$1 last=$2
	for number in $(seq "$first" "$last"); do
		echo "--server 127.0.0.1:$((8000 + number))"
	done
}

# start_seven SERVICE_MS: starts everything and applies the example.
start_seven()
{
	{
		instance_names examples/andino.yaml
		printf 'e%d\n' 1 2 3 4 5 6 7
	} >"$work/names"
	start platform "$build/standin-platform" --port 7000 --ports 4 \
		--names "$work/names" --lag-ms 500
	start endpoints "$build/standin-endpoints" --port 9100 --count 48 \
		--control 9099 --service-ms "$1" --spread 0.3
	wait_for "the platform" answers http://127.0.0.1:7003/instances
	entry_pids=()
	for i in 0 1 2 3 4 5 6; do
		number=$((i + 1))
		settings "e$number" "${dcs[$i]}" "$number" "${ports[$i]}"
		PEER_CUT_FILE=$work/cut-e$number start "e$number" \
			"$build/persimmonlatch-test" serve \
			--settings "$work/e$number.yaml"
		entry_pids+=("$started")
	done
	for number in 1 2 3 4 5 6 7; do
		wait_for "e$number" answers "http://127.0.0.1:$((8100 + number))/readyz"
	done
	"$build/persimmonlatch" apply "${client_options[@]}" \
		--server 127.0.0.1:8101 examples/andino.yaml ||
		fail "applying the example failed"
	for number in 1 2 3 4 5 6 7; do
		wait_for "a route at e$number" answers \
			"http://127.0.0.1:$((8000 + number))/alba/preview"
	done
}

# state_of NUMBER: the status of an entry instance as JSON.
state_of()
{
	"$build/persimmonlatch" status --json "${client_options[@]}" \
		--server "127.0.0.1:$((8100 + $1))"
}
