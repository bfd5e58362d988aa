"""Stand-in of the workers, as PROTOCOL.md describes them ("Running work items").

The spec of a job says how long its items work: "work_ms=800". Each start and
each end is noted in a Record, which knows what ran at the same time.
"""

import asyncio
import json
import re
import socket
import time

import httpd

STOP_S = 0.3  # at most stop_ms


class Run:
    def __init__(self, item, number, worker, started):
        self.item = item
        self.number = number
        self.worker = worker
        self.started = started
        self.ended = None
        self.how = None
        self.noted = False


class Record:
    """What callers, workers and the store saw, with times in seconds."""

    def __init__(self):
        self.begin = time.monotonic()
        self.lines = []
        self.runs = {}  # item -> list of Run

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.lines.append("%8.3f %s" % (self.now(), text))

    def run_started(self, item, number, worker):
        run = Run(item, number, worker, self.now())
        self.runs.setdefault(item, []).append(run)
        self.note("start %s run %d on %s" % (item, number, worker))
        return run

    def run_ended(self, run, how):
        run.ended = self.now()
        run.how = how
        self.note("end %s run %d on %s: %s"
                  % (run.item, run.number, run.worker, how))

    def acked(self, row):
        """The system has taken note of an end: [N, item, run, how, saved]."""
        for run in self.runs.get(row[1], []):
            if run.number == row[2] and run.ended is not None:
                run.noted = True

    def overlaps(self):
        """Pairs of runs of one item at the same time."""
        found = []
        for runs in self.runs.values():
            for i, first in enumerate(runs):
                for second in runs[i + 1:]:
                    end = first.ended if first.ended is not None else self.now()
                    if second.started < end:
                        found.append((first, second))
        return found

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class Life:
    """One life of a worker: from a start of it to its end."""

    def __init__(self, worker, first_clock_ms):
        self.born_ms = int(time.time() * 1000)
        self.began = time.monotonic()
        self.first_clock_ms = first_clock_ms
        self.name = "%s/%d" % (worker.id, worker.lives)
        self.fence = 0
        self.used_cpu = 0
        self.lease_end_ms = 0
        self.running = {}  # item -> [run, number, work_ms, began, timer, cpu]
        self.finished = []   # [N, item, run, how, saved]
        self.next_end = 1
        self.highest = {}    # item -> highest run that was stopped or ended
        self.changed = asyncio.Event()
        self.alive = True

    def clock_ms(self):
        return self.first_clock_ms + int(
            (time.monotonic() - self.began) * 1000)


class Worker:
    def __init__(self, name, ip, port, service, cpu, mem_mb, hold_max_ms,
                 record, store, heartbeat_s=1.5, zone="zone-a", machine=None,
                 kind="a"):
        self.id = name
        self.ip = ip
        self.port = port
        self.service = service
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.hold_max_ms = hold_max_ms
        self.record = record
        self.store = store
        self.heartbeat_s = heartbeat_s
        self.zone = zone
        self.machine = machine or "m-" + name
        self.labels = [kind, "r1-1"]
        self.lives = 0
        self.life = None
        self.dark = False
        self.seq = 0

    async def start(self):
        self.boot(first_clock_ms=480000)
        self.server = await asyncio.start_server(self.serve, self.ip,
                                                 self.port,
                                                 limit=4 * 1024 * 1024)
        asyncio.ensure_future(self.heartbeats())
        asyncio.ensure_future(self.leases())

    def boot(self, first_clock_ms):
        self.lives += 1
        self.life = Life(self, first_clock_ms)
        self.seq = 0
        self.dark = False
        self.record.note("worker %s starts (born %d)"
                         % (self.life.name, self.life.born_ms))

    def crash(self):
        """Loses power: it sends nothing more, and what ran there has ended."""
        life = self.life
        life.alive = False
        self.dark = True
        for item in list(life.running):
            entry = life.running.pop(item)
            entry[4].cancel()
            self.record.run_ended(entry[0], "lost with its worker")
        self.record.note("worker %s crashes" % life.name)

    def reboot(self):
        """Starts again under its id; all that it counted starts anew."""
        self.boot(first_clock_ms=0)
        self.beat()

    def beat(self):
        self.seq += 1
        self.store.put("keyed.servers", self.id, {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": self.labels, "clock_ms": self.life.clock_ms(),
            "born": self.life.born_ms, "seq": self.seq})

    async def heartbeats(self):
        while True:
            if not self.dark:
                self.beat()
            await asyncio.sleep(self.heartbeat_s)

    async def leases(self):
        while True:
            await asyncio.sleep(0.02)
            life = self.life
            if life.running and life.clock_ms() > life.lease_end_ms:
                for item in list(life.running):
                    self.end(life, item, "lapsed")

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        life = self.life
        try:
            if self.dark:
                # Without power nothing answers; the packets of the caller
                # reach the next life, which knows no such connection.
                await self.swallow(writer)
                return
            while True:
                request = await httpd.read_request(reader)
                if request is None:
                    break
                if not life.alive:
                    await self.swallow(writer)
                    return
                answer = await self.handle(life, request)
                if not life.alive:
                    # It crashed before it answered: silence.
                    if await httpd.read_request(reader) is not None:
                        await self.swallow(writer)
                    return
                writer.write(httpd.encode_response(*answer))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def swallow(self, writer):
        while self.dark:
            await asyncio.sleep(0.01)
        httpd.reset(writer)

    async def handle(self, life, request):
        if request.path == "/healthz":
            return 200, b""
        if request.headers.get("x-expected-instance", self.id) != self.id:
            return 421, b"{}"
        try:
            body = json.loads(request.body or b"{}")
        except ValueError:
            return 400, b"{}"
        if request.path == "/api/hold":
            return await self.hold(life, body)
        handler = {"/api/run-start": self.run_start,
                   "/api/run-stop": self.run_stop,
                   "/api/pace": self.pace}.get(request.path)
        return handler(life, body) if handler else (404, b"{}")

    def answer(self, life, status, **fields):
        fields["clock_ms"] = life.clock_ms()
        return status, json.dumps(fields).encode()

    def fenced(self, life, body):
        token = body.get("fence_token", 0)
        if token < life.fence:
            return True
        life.fence = token
        return False

    def extend(self, life, body):
        if "deadline_ms" in body:
            life.lease_end_ms = max(
                life.lease_end_ms,
                min(body["deadline_ms"], life.clock_ms() + self.hold_max_ms))

    def run_start(self, life, body):
        if self.fenced(life, body):
            return self.answer(life, 409, reason="fence")
        item, number = body["task"], body["run_number"]
        if "deadline_ms" in body and body["deadline_ms"] <= life.clock_ms():
            return self.answer(life, 409, reason="late")
        self.extend(life, body)
        current = life.running.get(item)
        if current and current[1] == number:
            return self.answer(life, 200)
        if current or number <= life.highest.get(item, 0):
            return self.answer(life, 409, reason="old")
        cpu = int(re.search(r"cpu=(\d+)", body["spec"]).group(1))
        if life.used_cpu + cpu > self.cpu:
            return self.answer(life, 409, reason="room")
        work_ms = int(re.search(r"work_ms=(\d+)", body["spec"]).group(1))
        fails = "fails" in body["spec"]
        lasts = "lasts" in body["spec"] and not fails
        run = self.record.run_started(item, number, life.name)
        timer = asyncio.get_running_loop().call_later(
            86400 if lasts else work_ms / 1000, self.end, life, item,
            "failed" if fails else "done")
        life.running[item] = [run, number, work_ms, time.monotonic(), timer,
                              cpu]
        life.used_cpu += cpu
        return self.answer(life, 200)

    def run_stop(self, life, body):
        if self.fenced(life, body):
            return self.answer(life, 409, reason="fence")
        item, number = body["task"], body["run_number"]
        life.highest[item] = max(life.highest.get(item, 0), number)
        current = life.running.get(item)
        if current and current[1] == number:
            current[4].cancel()
            current[4] = asyncio.get_running_loop().call_later(
                STOP_S, self.end, life, item, "stopped")
        return self.answer(life, 200)

    def pace(self, life, body):
        if self.fenced(life, body):
            return self.answer(life, 409, reason="fence")
        return self.answer(life, 200)

    def end(self, life, item, how):
        entry = life.running.pop(item, None)
        if entry is None:
            return
        entry[4].cancel()
        life.used_cpu -= entry[5]
        life.highest[item] = max(life.highest.get(item, 0), entry[1])
        life.finished.append([life.next_end, item, entry[1], how, ""])
        life.next_end += 1
        self.record.run_ended(entry[0], how)
        life.changed.set()

    async def hold(self, life, body):
        if self.fenced(life, body):
            return self.answer(life, 409, reason="fence")
        self.extend(life, body)
        acked = body.get("acked_through", 0)
        for row in life.finished:
            if row[0] <= acked:
                self.record.acked(row)
        life.finished = [row for row in life.finished if row[0] > acked]
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not life.finished:
            life.changed.clear()
            try:
                await asyncio.wait_for(life.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = []
        for item, entry in life.running.items():
            age_ms = (time.monotonic() - entry[3]) * 1000
            # A work item that lasts is at work, at 100, after its startup.
            percent = min(100, int(100 * age_ms / entry[2]))
            running.append([item, entry[1], "", percent, entry[5]])
        return self.answer(life, 200, born=life.born_ms, running=running,
                           finished=life.finished[:500])
