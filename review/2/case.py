"""A worker loses power and starts again under its id half a second later."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

import deployment  # noqa: E402

DOWN_S = 0.5
CRASHES = 6
PAUSE_S = 7


async def submit_jobs(platform, stop):
    """Four items each 0.2 s: about 40 of the 128 slots are in use."""
    number = 0
    while not stop.is_set():
        asyncio.ensure_future(platform.submit(
            number, "/one/" + deployment.new_id(),
            deployment.job(4, 500, random.randint(1000, 3000))))
        number += 1
        await asyncio.sleep(0.2)


def half_full(platform):
    """The worker that would get the next items: the fullest with room."""
    return max((worker for worker in platform.workers
                if len(worker.life.running) < 14),
               key=lambda worker: len(worker.life.running))


async def case(platform):
    stop = asyncio.Event()
    submitting = asyncio.ensure_future(submit_jobs(platform, stop))
    await asyncio.sleep(6)
    for _ in range(CRASHES):
        if os.environ.get("TROUBLE", "1") != "0":
            worker = half_full(platform)
            worker.crash()
            await asyncio.sleep(DOWN_S)
            worker.reboot()
        await asyncio.sleep(PAUSE_S)
    stop.set()
    await submitting
    await asyncio.sleep(6)
    pairs = platform.record.overlaps()
    for first, second in pairs:
        platform.record.note(
            "TWICE %s: run %d on %s from %.3f to %.3f and run %d on %s from "
            "%.3f" % (first.item, first.number, first.worker, first.started,
                      first.ended or -1, second.number, second.worker,
                      second.started))
    return not pairs


deployment.run_case(case, deployment.Platform(workers=8), HERE)
