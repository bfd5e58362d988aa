# Functions of the tests and benchmarks that start processes; source it with
# $build set. All started processes are stopped at exit.

work=$(mktemp -d)
pids=()
client_options=(--token-file "$work/token")
echo "test-token" >"$work/token"

# Stops all started processes and waits for their end, as ports are reused.
stop_started()
{
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null; do
			sleep 0.1
		done
	done
	pids=()
}

stop_all()
{
	stop_started
	rm -rf "$work"
}
trap stop_all EXIT

fail()
{
	echo "FAILED: $1" >&2
	tail -n 15 "$work"/*.log >&2
	exit 1
}

# start NAME PROGRAM ARGUMENT...: the process id is in $started.
start()
{
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	started=$!
	pids+=("$started")
	disown "$started"
}

# wait_for WHAT COMMAND...: retries COMMAND until it succeeds, for about 30 s.
wait_for()
{
	local what=$1
	shift
	for _ in $(seq 300); do
		"$@" >/dev/null 2>&1 && return
		sleep 0.1
	done
	fail "timed out waiting for $what"
}

answers()
{
	curl -sf -o /dev/null "$1"
}

# settings NAME DC NUMBER LOG_PORT: writes the settings of entry instance
# NUMBER. $seeds lists its peers as NAME:DC:NUMBER. $settings_more is appended.
settings()
{
	local name=$1 dc=$2 number=$3 log_port=$4 seed
	{
		cat <<END
entry: $name
dc: $dc
caller_address: 127.0.0.1:$((8000 + number))
operator_address: 127.0.0.1:$((8100 + number))
peer_address: 127.0.0.1:$((8200 + number))
token_file: $work/token
log_address: 127.0.0.1:$log_port
list_address: 127.0.0.1:$log_port
drain_ms: 5000
END
		echo "peers:"
		for seed in $seeds; do
			IFS=: read -r seed_name seed_dc seed_number <<<"$seed"
			[ "$seed_name" = "$name" ] && continue
			echo "- {name: $seed_name, dc: $seed_dc, address: '127.0.0.1:$((8200 + seed_number))'}"
		done
		echo "${settings_more:-}"
	} >"$work/$name.yaml"
}

# instance_names FILE: the names of the instances in a declaration file.
instance_names()
{
	sed -n 's/^- {name: \([a-z]*[0-9]*\), address.*/\1/p' "$1"
}

# endpoint_sum COUNTER: its sum over all endpoints of the stand-in.
endpoint_sum()
{
	curl -s -X POST "http://127.0.0.1:9099/control" |
		grep -o "\"$1\":[0-9]*" | cut -d: -f2 |
		awk '{s += $1} END {print s + 0}'
}

# cpu_ms PID: CPU time that a process has used, in ms.
cpu_ms()
{
	awk -v tick="$(getconf CLK_TCK)" \
		'{sub(/^.*\) /, ""); print ($12 + $13) * 1000 / tick}' \
		"/proc/$1/stat"
}
