"""The operator replaces a route by one of another name at the same path, and
requesters ask for the states of their jobs."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import deployment  # noqa: E402
import httpd  # noqa: E402

JOBS = 6
FINISH_S = 14


def processor_s(process):
    """The processor time that a process has used."""
    with open("/proc/%d/stat" % process.pid) as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def hand_in(platform, prefix):
    paths = []
    for number in range(JOBS):
        path = prefix + deployment.new_id()
        if await platform.submit(number, path, deployment.job(1, 1000, 2000)):
            paths.append(path)
    return paths


async def case(platform):
    jobs = await hand_in(platform, "/one/")
    jobs += await hand_in(platform, "/two/")
    if os.environ.get("TROUBLE", "1") != "0":
        platform.write_config([{"name": "r-three", "path_prefix": "/one/"},
                               platform.queues[1]])
    await asyncio.sleep(3)  # config_apply_ms is 2,000
    states = await asyncio.gather(*[platform.state(number, path)
                                    for number, path in enumerate(jobs)])
    for path, state in zip(jobs, states):
        platform.record.note("GET %s: %s" % (path, state))
    platform.record.note("end of the traffic; finish_s is %d" % FINISH_S)
    used = [processor_s(process) for process in platform.processes]
    await asyncio.sleep(FINISH_S)
    for number, process in enumerate(platform.processes):
        status, _ = await httpd.call(platform.entry_ips[number], 8622, "GET",
                                     "/api/readyz", "x")
        platform.record.note(
            "edge-%d: /api/readyz answers %s; it used %.1f s of a core since "
            "the end of the traffic" % (
                number + 1, status, processor_s(process) - used[number]))
    unanswered = 0
    for path in jobs:
        answers = await asyncio.gather(*[
            platform.state(number, path)
            for number in range(len(platform.entry_ips))])
        platform.record.note("GET %s at all entry instances: %s"
                             % (path, answers))
        unanswered += all(answer is None for answer in answers)
    platform.record.note("LOST: %d of %d accepted jobs get no answer"
                         % (unanswered, len(jobs)))
    return bool(jobs) and not unanswered


deployment.run_case(case, deployment.Platform(workers=6), HERE)
