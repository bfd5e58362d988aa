#!/bin/bash
# Measures real processes for docs/CAPACITY.md: seven idle entry instances with
# the Andino example and with the declarations of the design size, their network
# traffic, and the time until an accepted change is in force at all of them.
# Usage: bench/capacity.sh [BUILD]
set -u
cd "$(dirname "$0")/.." || exit 1
build=$PWD/${1:-build}
seconds=${CAPACITY_SECONDS:-10}
changes=${CAPACITY_CHANGES:-5}
. test/common.sh
. test/seven.sh

# start_fleet FILE: starts the platform and seven entry instances with FILE.
start_fleet()
{
	{
		instance_names "$1"
		printf 'e%d\n' 1 2 3 4 5 6 7
	} >"$work/names"
	start platform "$build/standin-platform" --port 7000 --ports 4 \
		--names "$work/names" --lag-ms 500
	platform_pid=$started
	wait_for "the platform" answers http://127.0.0.1:7003/instances
	entry_pids=()
	for i in 0 1 2 3 4 5 6; do
		number=$((i + 1))
		settings "e$number" "${dcs[$i]}" "$number" "${ports[$i]}"
		start "e$number" "$build/persimmonlatch" serve \
			--settings "$work/e$number.yaml"
		entry_pids+=("$started")
	done
	for number in 1 2 3 4 5 6 7; do
		wait_for "e$number" answers \
			"http://127.0.0.1:$((8100 + number))/readyz"
	done
	# Processes of another run on the same ports would answer as well.
	for pid in "${pids[@]}"; do
		kill -0 "$pid" 2>/dev/null || fail "a started process has exited"
	done
	"$build/persimmonlatch" apply "${client_options[@]}" \
		--server 127.0.0.1:8101 "$1" >/dev/null ||
		fail "$1 is not accepted"
	for number in 1 2 3 4 5 6 7; do
		wait_for "$1 at e$number" in_force "$number" "$(basename "$1")"
	done
}

# in_force NUMBER FILE: succeeds if FILE is in force at the entry instance.
in_force()
{
	curl -sf -H "Authorization: Bearer $(cat "$work/token")" \
		"http://127.0.0.1:$((8100 + $1))/v1/status" |
		grep -q "\"$2\""
}

memory_kib()
{
	awk '/^VmRSS/ {print $2}' "/proc/$1/status"
}

# tcp_bytes PID: prints the bytes sent and received on its open connections, to
# the platform and to peers, in one line.
tcp_bytes()
{
	ss -tinpH | awk -v pid="pid=$1," '
		/^ESTAB/ {
			mine = index($0, pid)
			peer = ($4 ~ /:82[0-9][0-9]$/ || $5 ~ /:82[0-9][0-9]$/)
			if (!peer && $5 !~ /:70[0-9][0-9]$/) mine = 0
			next
		}
		mine {
			for (i = 1; i <= NF; i++) {
				split($i, pair, ":")
				if (pair[1] == "bytes_acked") out[peer] += pair[2]
				if (pair[1] == "bytes_received") in_[peer] += pair[2]
			}
		}
		END {print out[0] + 0, in_[0] + 0, out[1] + 0, in_[1] + 0}'
}

# idle FILE: prints the memory, CPU time and traffic of idle entry instances.
idle()
{
	local i before after
	sleep 5
	for i in 0 1 2 3 4 5 6; do
		cpu_ms "${entry_pids[$i]}" >"$work/cpu.$i"
		tcp_bytes "${entry_pids[$i]}" >"$work/tcp.$i"
	done
	sleep "$seconds"
	echo "idle for $seconds s, $1"
	printf '%-6s %9s %14s %15s %15s %12s %12s\n' entry "RSS KiB" \
		"CPU us/s" "platform out/s" "platform in/s" "peers out/s" "peers in/s"
	for i in 0 1 2 3 4 5 6; do
		before=$(cat "$work/cpu.$i" "$work/tcp.$i" | tr '\n' ' ')
		after="$(cpu_ms "${entry_pids[$i]}") $(tcp_bytes "${entry_pids[$i]}")"
		echo "e$((i + 1)) $(memory_kib "${entry_pids[$i]}") $before $after" |
			awk -v s="$seconds" '{
				printf "%-6s %9d %14.0f %15.0f %15.0f %12.0f %12.0f\n", $1, $2,
					($8 - $3) * 1000 / s, ($9 - $4) / s,
					($10 - $5) / s, ($11 - $6) / s, ($12 - $7) / s}'
	done
	echo "platform stand-in: $(memory_kib "$platform_pid") KiB"
}

# Prints the sizes of the periodic requests to the platform and of a status.
wire()
{
	local what='%{size_request} out, %{size_header} + %{size_download} in\n'
	echo -n "list, bytes: "
	curl -s -o /dev/null -w "$what" http://127.0.0.1:7000/instances
	echo -n "read without records, bytes: "
	curl -s -o /dev/null -w "$what" \
		"http://127.0.0.1:7000/read?from=1000000&wait_ms=0"
	echo -n "read of one record (lease_renew), bytes: "
	records=$(curl -s http://127.0.0.1:7000/control |
		sed 's/.*"records": *\([0-9]*\).*/\1/')
	curl -s -o /dev/null -w "$what" \
		"http://127.0.0.1:7000/read?from=$records&wait_ms=0"
	echo -n "status, bytes: "
	curl -s -o /dev/null -w "$what" \
		-H "Authorization: Bearer $(cat "$work/token")" \
		http://127.0.0.1:8101/v1/status
}

now_ms()
{
	date +%s%3N
}

# Adds members, each in its own file, and prints how long each change takes.
change()
{
	local n number start_ms accepted_ms
	for n in $(seq "$changes"); do
		echo "members: [{name: extra$n, weight: 1}]" >"$work/extra$n.yaml"
		start_ms=$(now_ms)
		"$build/persimmonlatch" apply "${client_options[@]}" \
			--server 127.0.0.1:8101 "$work/extra$n.yaml" >/dev/null ||
			fail "the change is not accepted"
		accepted_ms=$(now_ms)
		for number in 1 2 3 4 5 6 7; do
			wait_for "change $n at e$number" in_force "$number" \
				"extra$n.yaml"
		done
		echo "change $n: accepted after $((accepted_ms - start_ms)) ms," \
			"seen in force at all after $(($(now_ms) - start_ms)) ms"
	done
}

measure()
{
	start_fleet "$1"
	idle "$(basename "$1")"
	wire
	change
	stop_started
}

"$build/bench-capacity" declare >"$work/design.yaml" || exit 1
sed 's/dc: dc0/dc: cc1/; s/dc: dc[14]/dc: cc2/; s/dc: dc[25]/dc: cc3/
	s/dc: dc3/dc: cc4/' "$work/design.yaml" >"$work/fleet.yaml"
measure examples/andino.yaml
measure "$work/fleet.yaml"
