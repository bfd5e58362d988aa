"""One job of many small work items is handed in; then ordinary jobs."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import deployment  # noqa: E402

LARGE_ITEMS = 14000
CALM_ITEMS = 1400  # with TROUBLE=0
SMALL_JOBS = 10
FINISH_S = 14
IDLE_S = 3
WATCH_S = 20


async def case(platform):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    items = LARGE_ITEMS if trouble else CALM_ITEMS
    jobs = []
    path = "/one/" + deployment.new_id()
    if await platform.submit(0, path, deployment.job(items, 4, 3000,
                                                     mem_mb=8)):
        platform.record.note("the job of %d work items is accepted" % items)
        jobs.append(path)
    await asyncio.sleep(2)
    for number in range(SMALL_JOBS):
        path = "/two/" + deployment.new_id()
        if await platform.submit(number, path, deployment.job(2, 1000, 500)):
            jobs.append(path)
        await asyncio.sleep(0.5)
    platform.record.note("end of the traffic; finish_s is %d" % FINISH_S)
    await asyncio.sleep(FINISH_S)
    since = platform.record.now()
    idle = {}
    while platform.record.now() < since + WATCH_S and len(idle) < len(jobs):
        await asyncio.sleep(0.5)
        for number, path in enumerate(jobs):
            idle_s = min(platform.idle_s(path.split("/")[-1]),
                         platform.record.now() - since)
            if (path in idle or idle_s < IDLE_S or
                    platform.used_share() >= 0.5):
                continue
            state = await platform.state(number, path)
            if state != "complete":
                idle[path] = state
                platform.record.note(
                    "GET %s: %s, nothing of it has run for %.1f s, %.2f of "
                    "the cores are in use" % (path, state, idle_s,
                                              platform.used_share()))
    platform.record.note(
        "LOST: %d of %d accepted jobs had nothing running; the store refused "
        "%d appends, the largest record had %d bytes" % (
            len(idle), len(jobs), platform.store.refused_too_large,
            platform.store.largest_refused))
    return bool(jobs) and not idle


deployment.run_case(case, deployment.Platform(workers=8, worker_cpu=64000,
                                              worker_mem_mb=128000), HERE)
