"""Small stand-in of the users' platform for the scripts of this review: store, runners, machine service, consumers.

It follows PROTOCOL.md as far as the cases need it, runs in one asyncio loop on loopback, and records what it is told
and what it answers. Boxes are started as processes with the command of the deploy file. A cut between two zones is
silent: calls across it are neither carried out nor answered, and a channel that has lost an answer says nothing more.
"""

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
PROGRAM = "target/release/martend"
HOST = "jobs.example"
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
VALUE_BYTES = 1_048_576
HANG = object()


class Record:
    """Writes what happens to a file, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if os.environ.get("VERBOSE"):
            print(line)


# Listeners have a loopback address of their own: outgoing connections use 127.0.0.1, so none of them takes a port that
# is closed for a time.
LOOPBACK = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"


def free_port():
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


class Http:
    """HTTP/1.1 listener. The handler returns (status, object), or HANG for no answer, after which the channel is dead."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.port = None
        self.silences = 0

    def silence(self):
        """Makes the channels that are open now silent for good; new ones work."""
        self.silences += 1

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port or self.port or 0, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def addr(self):
        return f"{LOOPBACK}:{self.port}"

    def close(self):
        """Closes the port and resets all channels."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        silences = self.silences
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = b""
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                path, _, query = target.partition("?")
                params = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                call = {"method": method, "path": path, "query": params, "headers": headers, "body": body}
                answer = await self.handler(call)
                if answer is HANG or silences != self.silences:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def request(addr, method, path, headers=None, body=None, limit=3.0):
    """One call on a channel of its own; (0, None) if there is no answer in time."""

    async def call():
        host, port = addr.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(data)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            answer = await reader.read()
            head, _, rest = answer.partition(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            try:
                return status, json.loads(rest)
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), limit)
    except (OSError, ValueError, IndexError, asyncio.TimeoutError):
        return 0, None


class Store:
    """The platform's store."""

    def __init__(self, platform):
        self.platform = platform
        self.items = {}
        self.rev = 100
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        # Box that each fence number belongs to: the revision of the scheduler's key.
        self.box_of_fence = {}

    def _change(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, rev=None):
        if rev is None:
            self.rev += 1
            rev = self.rev
        made = self.items[key]["made"] if key in self.items else rev
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": rev, "made": made, "lease": lease}
        self.items[key] = item
        self.history.append((rev, item))
        if key == "marten/scheduler":
            box = json.loads(value)["box"]
            self.box_of_fence[rev] = box
            self.platform.record(f"store: {box} is the elected scheduler, fence {rev}")
        self._change()

    def remove(self, key, rev=None):
        if key not in self.items:
            return
        if rev is None:
            self.rev += 1
            rev = self.rev
        del self.items[key]
        self.history.append((rev, {"key": key, "rev": rev, "gone": True}))
        self._change()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [lease for lease, (until, _) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def answer(self, box, call):
        silent = lambda: self.platform.is_cut(self.platform.zone_of_box[box], "store")
        if silent():
            return HANG
        await asyncio.sleep(STORE_ANSWER_S)
        answer = await self._execute(call)
        return HANG if silent() else answer

    async def _execute(self, call):
        path, query = call["path"], call["query"]
        body = json.loads(call["body"]) if call["body"] else {}
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, at=self.rev)) if item else (404, {"at": self.rev})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("sinceRev", "")]
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "more": len(keys) > len(page), "at": self.rev}
        if path == "/v1/kv-watch":
            since, until = int(query["sinceRev"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                changed = self.changed
                events = [e for rev, e in self.history if rev > since and e["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.rev}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            return self._transaction(body)
        if path == "/v1/kv-lease":
            lease, ttl = secrets.randbits(40), max(1000, int(body["ttl_ms"]))
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 400, {}

    def _transaction(self, body):
        for put in body.get("put", []):
            size = len(base64.b64decode(put["value"]))
            if size > VALUE_BYTES:
                self.platform.record(f"store: refuses {put['key']}, a value of {size} bytes")
                return 400, {}
        expect = body.get("expectRev", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expect):
            return 412, {"items": [self.items.get(row["key"]) for row in expect]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in body.get("put", [])):
            return 404, {}
        self.rev += 1
        rev = self.rev
        for put in body.get("put", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), rev)
        for key in body.get("remove", []):
            self.remove(key, rev)
        return 200, {"rev": rev}


class Run:
    def __init__(self, number, spec, now):
        self.number = number
        self.spec = spec
        self.started = now
        self.lasting = spec.get("lasting", False)
        self.percent = 100
        # A lasting subtask is at work after a short start.
        self.ready_at = now + spec.get("start_ms", 300) / 1000
        self.done_at = None if self.lasting else now + spec.get("ms", 1000) / 1000

    def saved(self, now):
        """The checkpoint, renewed with each half second of work; empty before, and for a run that makes none."""
        halves = int((now - self.started) / 0.5)
        return f"{halves:08x}{self.number:08x}".ljust(self.spec["save"], "0") if self.spec.get("save") and halves else ""

    def at_work(self, now):
        return now >= self.ready_at

    def progress(self, now):
        if self.lasting:
            return 100 if self.at_work(now) else 50
        return max(0, min(99, int(100 * (now - self.started) / max(0.001, self.done_at - self.started))))


class Runner:
    """One machine with its current runner, which has one life after another at its address."""

    def __init__(self, platform, machine, zone, labels, service="desk", gpu=8):
        self.platform, self.machine, self.zone, self.labels = platform, machine, zone, labels
        self.service, self.gpu = service, gpu
        self.state = "down"
        self.lives = 0
        self.http = Http(self._answer)
        self.waves = set()

    async def begin_life(self):
        self.lives += 1
        self.id = f"i-{self.machine}-{self.lives}"
        self.begun = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.running, self.ended, self.serial, self.over = {}, [], 0, {}
        self.seq, self.missed = 0, 0
        self.state = "up"
        await self.http.open()
        self.beat()
        self.platform.record(f"runner {self.id} begins on machine {self.machine} in {self.zone}")

    def end_life(self, why):
        """Everything that runs here dies at once, without a word."""
        self.platform.record(f"runner {self.id} ends ({why}); ran {sorted(self.running)}")
        died = self.running
        self.running = {}
        self.http.close()
        self.platform.store.remove(f"servers/{self.id}")
        return died

    async def crash(self, down_s):
        """A crash; the next life comes at the same address, with a new id."""
        self.state = "down"
        died = self.end_life("crash")
        asyncio.get_running_loop().create_task(self._return(down_s))
        return died

    async def _return(self, after):
        await asyncio.sleep(after)
        await self.begin_life()

    def clock_ms(self):
        return 100_000 + int((time.monotonic() - self.begun) * 1000)

    def beat(self):
        """Writes the entry of the runner in the store, as it does at each heartbeat."""
        if self.state != "up":
            return
        if self.platform.is_cut(self.zone, "store"):
            self.missed += 1
            if self.missed == 3:
                self.platform.store.remove(f"servers/{self.id}")
            return
        self.missed = 0
        self.seq += 1
        entry = {
            "service": self.service, "addr": self.http.addr, "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "coldLeftMs": 0, "seq": self.seq, "labels": self.labels,
            "capacity": {"cpu": 32000, "memMb": 131072, "gpu": self.gpu},
        }
        self.platform.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def _end(self, task, how):
        run = self.running.pop(task)
        self.serial += 1
        self.ended.append([self.serial, task, run.number, how, run.saved(time.monotonic())])
        self.over[task] = max(self.over.get(task, 0), run.number)
        self.platform.ended(self, task, run, how)

    def _update(self):
        now, clock = time.monotonic(), self.clock_ms()
        for task, run in list(self.running.items()):
            if run.done_at is not None and now >= run.done_at:
                self._end(task, run.spec.get("end", "done"))
            elif clock >= self.lease_until:
                self._end(task, "lapsed")

    def _renew(self, until_ms):
        self.lease_until = max(self.lease_until, min(until_ms, self.clock_ms() + self.platform.lease_ms))

    async def _answer(self, call):
        if call["headers"].get("expect-instance", self.id) != self.id:
            return 421, {}
        life = self.id
        body = json.loads(call["body"]) if call["body"] else {}
        fence = body.get("fence", 0)
        box = self.platform.store.box_of_fence.get(fence)
        silent = lambda: box and self.platform.is_cut(self.platform.zone_of_box[box], self.zone)
        if silent():
            return HANG
        await asyncio.sleep(0.001)
        answer = await self._execute(call["path"], body, fence, box)
        return HANG if silent() or life != self.id else answer

    async def _execute(self, path, body, fence, box):
        self._update()
        if fence < self.fence:
            return 409, {"timestampMs": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if path == "/v1/hold":
            self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
            if "untilMs" in body:
                self._renew(body["untilMs"])
            until = time.monotonic() + body.get("waitMs", 0) / 1000
            while not self.ended and time.monotonic() < until:
                await asyncio.sleep(0.01)
                self._update()
            now = time.monotonic()
            running = [
                [task, run.number, run.saved(now), run.progress(now), 0] for task, run in self.running.items()
            ]
            return 200, {"timestampMs": self.clock_ms(), "running": running, "ended": self.ended[:500]}
        task, number = body.get("task"), body.get("run", 0)
        if path == "/v1/run-start":
            return self._start(task, number, body, box)
        if path == "/v1/run-stop":
            if task in self.running and self.running[task].number == number:
                self._end(task, "stopped")
            self.over[task] = max(self.over.get(task, 0), number)
            return 200, {"timestampMs": self.clock_ms()}
        if path == "/v1/pace":
            if task in self.running:
                self.running[task].percent = body["percent"]
            return 200, {"timestampMs": self.clock_ms()}
        return 404, {}

    def _start(self, task, number, body, box):
        clock = self.clock_ms()
        if body["untilMs"] <= clock:
            return 409, {"timestampMs": clock, "reason": "late"}
        self._renew(body["untilMs"])
        if task in self.running and self.running[task].number == number:
            return 200, {"timestampMs": clock}
        if task in self.running or number <= self.over.get(task, 0):
            return 409, {"timestampMs": clock, "reason": "old"}
        if self.platform.advice and not self.platform.advice.allows(self, task, body.get("token")):
            return 409, {"timestampMs": clock, "reason": "ticket"}
        run = Run(number, json.loads(body["spec"]), time.monotonic())
        taken = sum(other.spec.get("gpu", 0) for other in self.running.values())
        if taken + run.spec.get("gpu", 0) > self.gpu:
            return 409, {"timestampMs": clock, "reason": "room"}
        self.running[task] = run
        self.platform.started(self, task, run, box)
        return 200, {"timestampMs": clock}


class Platform:
    """Store, runners, machines and boxes. `on_end` and `on_upkeep` tell a case what ended and which order ended it."""

    def __init__(self, record, lease_ms=10_000, upkeep_s=2.0):
        self.record = Record(record)
        self.lease_ms, self.upkeep_s = lease_ms, upkeep_s
        self.store = Store(self)
        self.runners, self.boxes, self.zone_of_box = [], {}, {}
        self.cut_zones = set()
        self.cloud_zone = None
        # The service that gives tickets, and its address; none by default.
        self.advice, self.advice_addr = None, ""
        self.temp = tempfile.mkdtemp(prefix="martenscale-review-")
        self.tasks = []
        self.on_start = lambda runner, task, run, box: None
        self.on_end = lambda runner, task, run, how: None
        self.on_upkeep = lambda runner, holder, fence, died: None

    async def begin(self, config):
        loop = asyncio.get_running_loop()
        self.store.put("op/config", json.dumps(config).encode())
        self.tasks.append(loop.create_task(self.store.run_leases()))
        self.tasks.append(loop.create_task(self._beats()))

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for runner in self.runners:
                runner.beat()

    async def add_runner(self, machine, zone, labels, **more):
        runner = Runner(self, machine, zone, labels, **more)
        self.runners.append(runner)
        await runner.begin_life()
        return runner

    def is_cut(self, one, other):
        """A zone in `cut_zones` is cut off from all that is outside it; the store lies outside every zone."""
        return one != other and (one in self.cut_zones or other in self.cut_zones)

    def started(self, runner, task, run, box):
        self.record(f"{runner.id} starts {task} run {run.number}, ordered by {box}")
        self.on_start(runner, task, run, box)

    def ended(self, runner, task, run, how):
        self.record(f"{runner.id} ends {task} run {run.number}: {how}")
        self.on_end(runner, task, run, how)

    async def machine_service(self, box, call):
        if self.cloud_zone and self.is_cut(self.zone_of_box[box], self.cloud_zone):
            return HANG
        await asyncio.sleep(0.002)
        if call["path"] == "/v1/machines":
            rows = [
                {"machine": r.machine, "pool": r.service, "state": r.state, "zone": r.zone, "labels": r.labels,
                 "capacity": {"cpu": 32000, "memMb": 131072, "gpu": r.gpu},
                 "id": r.id if r.state == "up" else None}
                for r in self.runners
            ]
            return 200, {"machines": rows, "nextToken": None}
        if call["path"] == "/v1/machine-upkeep":
            return await self._upkeep(box, call)
        return 400, {}

    async def _upkeep(self, box, call):
        body, headers = json.loads(call["body"]), call["headers"]
        holder, fence = headers.get("lease-holder"), int(headers.get("fence-token", 0))
        runner = next((r for r in self.runners if r.machine == body["machine"]), None)
        if runner is None:
            return 400, {}
        wave = json.loads(self.store.value(f"op/wave/{body['wave']}") or b"{}")
        if runner.machine not in wave.get("machines", []):
            return 409, {"reason": "wave"}
        if body["wave"] in runner.waves:
            self.record(f"upkeep of {runner.machine} ordered by {holder}, fence {fence}: already done")
            return 200, {}
        if runner.state != "up":
            return 409, {"reason": "busy"}
        self.record(f"upkeep of {runner.machine} ordered by {holder}, fence {fence}: begins")
        runner.waves.add(body["wave"])
        runner.wave = body["wave"]
        runner.state = "upkeep"
        died = runner.end_life("upkeep")
        self.on_upkeep(runner, holder, fence, died)
        asyncio.get_running_loop().create_task(runner._return(self.upkeep_s))
        return 200, {}

    async def start_box(self, name, zone, cpu_share=1.0):
        self.zone_of_box[name] = zone
        store = await Http(lambda call: self.store.answer(name, call)).open()
        machines = await Http(lambda call: self.machine_service(name, call)).open()
        addrs = [f"{LOOPBACK}:{free_port()}" for _ in range(4)]
        settings = {"deployment": {
            "box": name, "availability_zone": zone, "callers_address": addrs[0], "readiness_address": addrs[1],
            "peers_address": addrs[2], "metrics_address": addrs[3], "store_address": store.addr,
            "adviser_address": self.advice_addr, "machines_address": machines.addr,
            "seeds": [box["addrs"][2] for box in self.boxes.values()] or [addrs[2]],
            "cpu_share": cpu_share, "link_mbps": 1000.0, "memory_mb": 260, "descriptors": 4100,
            "shortest_ttl_ms": 1000, "lease_ms": self.lease_ms, "server_heartbeat_ms": int(HEARTBEAT_S * 1000),
            "far_factor": 3.0, "grace_ms": 6000, "log_level": "info",
        }}
        path = os.path.join(self.temp, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.boxes[name] = {"addrs": addrs, "settings": path, "channels": [store, machines]}
        await self._spawn(name)
        return self.boxes[name]

    async def _spawn(self, name):
        box = self.boxes[name]
        log = open(os.path.join(self.temp, f"{name}.log"), "ab")
        box["process"] = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, stdout=log, stderr=log, env={**os.environ, "MARTENSCALE_CONFIG": box["settings"]},
        )
        log.close()
        self.record(f"box {name} starts, pid {box['process'].pid}")

    def kill_box(self, name, sig=signal.SIGKILL):
        self.record(f"box {name} gets {signal.Signals(sig).name}")
        self.boxes[name]["process"].send_signal(sig)

    async def until(self, what, check, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.02)
        raise CannotRun(f"waited {limit} s for: {what}")

    async def until_ready(self, name, limit=15):
        addr = self.boxes[name]["addrs"][1]

        async def is_ready():
            return (await request(addr, "GET", "/v1/ready", limit=1.0))[0] == 200

        await self.until(f"{name} is ready", is_ready, limit)

    def scheduler(self):
        value = self.store.value("marten/scheduler")
        return json.loads(value)["box"] if value else None

    async def status(self, name):
        return (await request(self.boxes[name]["addrs"][3], "GET", "/v1/status", limit=1.0))[1] or {}

    async def until_schedules(self, name, limit=15):
        async def schedules():
            return (await self.status(name)).get("schedules_with_fence")

        return await self.until(f"{name} schedules", schedules, limit)

    async def call(self, name, method, path, body=None, key="key-1"):
        headers = {"Host": HOST, "Authorization": f"Bearer {key}", "Deadline": "3000",
                   "Content-Type": "application/json"}
        status, answer = await request(self.boxes[name]["addrs"][0], method, path, headers, body, 3.2)
        self.record(f"consumer: {method} {path} at {name} -> {status} {json.dumps(answer)}")
        return status, answer

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for box in self.boxes.values():
            process = box.get("process")
            if process and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for runner in self.runners:
            runner.http.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in self.boxes:
                shutil.copy(os.path.join(self.temp, f"{name}.log"), keep)
        shutil.rmtree(self.temp, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be brought about."""


def route(name, priority, attempts=3, slo_ms=1000):
    return {"name": f"r-{name}", "host": HOST, "prefix": f"/{name}/", "service": "desk", "priority": priority,
            "attempts": attempts, "stretch": 3.0, "sloMs": slo_ms, "timeoutMs": 3000, "public": False}


def configuration(routes, guaranteed=0):
    return {
        "version": 7, "routes": routes, "services": [{"name": "desk", "enforcesCapacity": True}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "court", "apiKeys": ["key-1"], "guaranteed": {"gpu": guaranteed}}],
    }


def job_id():
    return secrets.token_hex(8)


def step(count, spec_gpu, **more):
    return {"count": count, "cpu": 1000, "memMb": 1024, "gpu": spec_gpu, "estimateMs": 2000, **more}


def main(case, record, limit=110):
    """Runs a case: exit 1 if it returns broken rules, 0 if it returns none, 2 if it could not run."""
    record = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), record)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        platform = Platform(record)
        platform.record(f"disruption: {trouble}")
        try:
            if not os.path.exists(os.path.join(ROOT, PROGRAM)):
                raise CannotRun(f"{PROGRAM} is not built")
            broken = await asyncio.wait_for(case(platform, trouble), limit)
        except (CannotRun, asyncio.TimeoutError) as error:
            platform.record(f"could not run: {error}")
            print(f"could not run: {error}")
            return 2
        finally:
            await platform.end()
        for line in broken:
            platform.record(f"BROKEN {line}")
            print(f"BROKEN {line}")
        if not broken:
            platform.record("the rule held")
            print("the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
