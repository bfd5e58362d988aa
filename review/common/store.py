"""Stand-in of the platform's store: topics with one partition, in memory."""

import asyncio
import base64
import json
import struct

APPEND_S = 0.001
ANSWER_S = 0.004
PAGE_MAX_COUNT = 500
PAGE_MAX_BYTES = 1024 * 1024


class Topic:
    def __init__(self, name):
        self.name = name
        self.records = []  # (key or None, value); the index is the offset
        self.newest = {}   # key -> offset
        self.producers = {}  # name -> [epoch, next seq, last answers]
        self.added = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, record):
        offset = len(self.records)
        if self.name.startswith("keyed."):
            length = record[0]
            key = record[1:1 + length]
            value = record[1 + length:]
            if value:
                self.newest[key] = offset
            else:
                self.newest.pop(key, None)
        self.records.append(record)
        self.added.set()
        self.added = asyncio.Event()


class Store:
    def __init__(self, record_bytes=262144, max_batch_bytes=2097152):
        self.record_bytes = record_bytes
        self.max_batch_bytes = max_batch_bytes
        self.topics = {}
        self.refused_too_large = 0
        self.largest_refused = 0
        self.log = lambda text: None

    def topic(self, name):
        if name not in self.topics:
            self.topics[name] = Topic(name)
        return self.topics[name]

    def put(self, topic, key, value):
        """What the operator and the workers write."""
        data = json.dumps(value).encode() if value is not None else b""
        self.topic(topic).add(bytes([len(key)]) + key.encode() + data)

    def get(self, topic, key):
        """What the operator reads."""
        found = self.topic(topic)
        offset = found.newest.get(key.encode())
        return None if offset is None else found.records[offset][
            1 + len(key):]

    async def handle(self, request):
        await asyncio.sleep(ANSWER_S)
        if request.path == "/api/log-append":
            return await self.append(request)
        if request.path == "/api/log-read":
            return await self.read(request)
        if request.path == "/api/log-newest":
            return self.page(request)
        return 404, b"{}"

    def split(self, body):
        """The records of an append, or None where one is malformed."""
        records = []
        at = 0
        while at < len(body):
            if at + 4 > len(body):
                return None
            length = struct.unpack(">I", body[at:at + 4])[0]
            at += 4
            if at + length > len(body):
                return None
            records.append(body[at:at + length])
            at += length
        return records

    async def append(self, request):
        query = request.query
        name = query.get("topic", "")
        if name in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = self.split(request.body)
        if records is None:
            return 400, b'{"reason":"malformed"}'
        largest = max((len(record) for record in records), default=0)
        if largest > self.record_bytes or len(request.body) > self.max_batch_bytes:
            self.refused_too_large += 1
            self.largest_refused = max(self.largest_refused, largest)
            if self.refused_too_large == 1:
                self.log("store: refuses an append with a record of %d bytes, "
                         "record_bytes is %d (producer %s)"
                         % (largest, self.record_bytes, query.get("producer")))
            return 400, b'{"reason":"too large"}'
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            return self.append_locked(topic, query, records)

    def append_locked(self, topic, query, records):
        producer = query.get("producer")
        if producer is not None:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = topic.producers.setdefault(producer, [epoch, seq, {}])
            if epoch < state[0]:
                return 409, b'{"reason":"fenced"}'
            if epoch > state[0]:
                state[:] = [epoch, seq, {}]
            if seq in state[2]:
                return 200, state[2][seq]
            if seq != state[1]:
                return 409, json.dumps(
                    {"reason": "seq", "seq": state[1]}).encode()
        offset = len(topic.records)
        for record in records:
            topic.add(record)
        answer = json.dumps({"offset": offset,
                             "end_offset": len(topic.records)}).encode()
        if producer is not None:
            state[1] = seq + 1
            state[2][seq] = answer
            state[2].pop(seq - 5, None)
        return 200, answer

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        max_bytes = int(request.query.get("max_kb", "1024")) * 1024
        if start >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.added.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for record in topic.records[start:]:
            if size and size + len(record) > max_bytes:
                break
            size += len(record) + 4
            out.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(out), "application/octet-stream"

    def page(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("depends_on", "").encode()
        items = []
        size = 0
        more = False
        for key in sorted(topic.newest):
            if key <= after and after:
                continue
            offset = topic.newest[key]
            value = topic.records[offset][1 + len(key):]
            if len(items) >= PAGE_MAX_COUNT or size > PAGE_MAX_BYTES:
                more = True
                break
            size += len(value)
            items.append({"key": key.decode(), "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return 200, json.dumps({"items": items, "has_more": more,
                                "end_offset": len(topic.records)}).encode()
