"""Stand-ins of the users' platform for the cases of this review: its store, runners and consumers.

Written from the users' pages (PROTOCOL.md, DEPLOY.md) and on the standard library alone. All listen on loopback
addresses and use the real clock. The program under test is started as the deploy file says: `target/release/martend`,
with the path of its settings in MARTENSCALE_CONFIG.
"""

import base64
import http.client
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler
from socketserver import TCPServer, ThreadingMixIn

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "martend")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-1"
HOST = "jobs.example"
HEARTBEAT_S = 1.5  # heartbeatMs of the sheets
SILENT_PINGS = 3  # after so many pings of silence the entry of a runner disappears
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 8}  # of a runner
LASTING_S = 1e6  # work of a subtask that lasts
FAILS_AFTER_S = 0.3  # a subtask that always fails does so this long after its start
SHORT_RESTART_S = 0.5  # a process that ends is started again after a short delay


class CannotRun(Exception):
    """The case could not be brought about; this is neither a pass nor a failure."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


class Server(ThreadingMixIn, TCPServer):
    """HTTP/1.1 server on a loopback address. It can be cut off: its port refuses and its channels are reset."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, addr, answer):
        self.answer = answer
        self.channels = set()
        self.channels_lock = threading.Lock()
        super().__init__(addr, Handler)
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def process_request(self, request, client_address):
        with self.channels_lock:
            self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.channels_lock:
            self.channels.discard(request)
        super().shutdown_request(request)

    def cut(self):
        """Closes the port and resets all open channels."""
        self.socket.close()
        with self.channels_lock:
            channels = list(self.channels)
        for channel in channels:
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                channel.shutdown(socket.SHUT_RDWR)
                channel.close()
            except OSError:
                pass
        threading.Thread(target=self.shutdown, daemon=True).start()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def serve(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        try:
            answer = self.server.answer(self.command, url.path, query, self.headers, body)
        except Exception as error:  # a fault of the stand-in must show in the record
            answer = (500, {"error": repr(error)})
        if answer is None:  # no answer: the channel says nothing further
            time.sleep(30)
            self.close_connection = True
            return
        status, value = answer
        text = json.dumps(value).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        try:
            self.wfile.write(text)
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = serve


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.items = {}  # key -> (value as base64, rev, made, lease)
        self.history = []  # (rev, key, item or None)
        self.rev = 0
        self.leases = {}  # lease -> [ttl in s, renewed at]
        self.next_lease = 0
        self.down = False
        self.on_gone = lambda keys: None  # called as a watch is about to tell that these keys are gone
        self.server = Server(("127.0.0.1", 0), self.answer)
        self.addr = self.server.server_address
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def row(self, key):
        value, rev, made, lease = self.items[key]
        return {"key": key, "value": value, "rev": rev, "made": made, "lease": lease}

    def _put(self, key, value, lease=0):
        made = self.items[key][2] if key in self.items else self.rev
        self.items[key] = (value, self.rev, made, lease)
        self.history.append((self.rev, key, self.row(key)))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.rev, key, None))

    def write(self, key, value):
        """Writes a key as the operator or a runner does."""
        with self.changed:
            self.rev += 1
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode())
            self.changed.notify_all()

    def erase(self, key):
        with self.changed:
            self.rev += 1
            self._remove(key)
            self.changed.notify_all()

    def read(self, key):
        with self.changed:
            return json.loads(base64.b64decode(self.items[key][0])) if key in self.items else None

    def set_down(self, down):
        """Rejects every call, or serves again. Leases wait meanwhile."""
        with self.changed:
            now = time.monotonic()
            for lease in self.leases.values():
                lease[1] = now
            self.down = down
            self.changed.notify_all()

    def expire_leases(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                if self.down:
                    continue
                now = time.monotonic()
                over = [lease for lease, (ttl, at) in self.leases.items() if now > at + ttl]
                for lease in over:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key)
            self.changed.notify_all()

    def answer(self, method, path, query, headers, body):
        time.sleep(0.002)
        if self.down:
            return 503, {}
        if path == "/v1/kv-watch":
            return self.watch(query)
        value = json.loads(body) if body else {}
        with self.changed:
            if path == "/v1/kv-key":
                key = query["key"]
                return (200, self.row(key) | {"at": self.rev}) if key in self.items else (404, {"at": self.rev})
            if path == "/v1/kv-range":
                after = query.get("sinceRev", "")
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
                rows = [self.row(key) for key in keys[:500]]
                return 200, {"items": rows, "more": len(keys) > 500, "at": self.rev}
            if path == "/v1/kv-txn":
                return self.commit(value)
            if path == "/v1/kv-lease":
                self.next_lease += 1
                ttl_ms = max(1000, int(value["ttl_ms"]))
                self.leases[self.next_lease] = [ttl_ms / 1000, time.monotonic()]
                return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
            lease = int(path.rsplit("/", 1)[1])
            if path.startswith("/v1/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease][1] = time.monotonic()
                return 200, {"ttl_ms": int(self.leases[lease][0] * 1000)}
            if path.startswith("/v1/kv-lease-end/"):
                self._end_lease(lease)
                return 200, {}
        return 400, {}

    def commit(self, value):
        puts, removes = value.get("put") or [], value.get("remove") or []
        expected = value.get("expectRev") or []
        if len(puts) + len(removes) + len(expected) > 32:
            return 400, {}
        if any(key.startswith(("op/", "servers/")) for key in removes + [put["key"] for put in puts]):
            return 403, {}
        current = lambda key: self.items[key][1] if key in self.items else 0
        if any(current(row["key"]) != row["rev"] for row in expected):
            return 412, {"items": [self.row(row["key"]) for row in expected if row["key"] in self.items]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.rev += 1
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease") or 0)
        for key in removes:
            self._remove(key)
        self.changed.notify_all()
        return 200, {"rev": self.rev}

    def watch(self, query):
        prefix, since = query["prefix"], int(query["sinceRev"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            while True:
                events = [
                    row or {"key": key, "rev": rev, "gone": True}
                    for rev, key, row in self.history
                    if rev > since and key.startswith(prefix)
                ]
                left = until - time.monotonic()
                if self.down:
                    return 503, {}
                if events or left <= 0:
                    self.on_gone({event["key"] for event in events if "gone" in event})
                    return 200, {"events": events, "at": self.rev}
                self.changed.wait(left)


class Runner:
    """One lifetime of a runner. A subtask works for the milliseconds that its spec begins with.

    One whose spec is `lasts` works without an end, and one whose spec is `fails` fails soon after each start.

    A runner writes its entry about every 1.5 s; the store drops the entry after three pings of silence.
    """

    CLOCK_START_MS = 100_000

    def __init__(self, world, number, ip):
        self.world = world
        self.id, self.machine = f"i-{number:02}", f"m-{number:02}"
        self.zone = ["a", "b", "c"][number % 3]
        self.labels = ["a", f"r1-{number // 8}"]  # its kind, its rack
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.state, self.remaining_ms, self.seq = "ready", None, 0
        self.fence, self.lease_until = 0, 0
        self.running = {}  # task -> [run, done at, saved]
        self.ended = []  # [N, task, run, how, saved]
        self.ended_runs = {}  # task -> highest run that was stopped or ended
        self.work_s = {}  # task -> seconds of work
        self.serial = 0
        self.pinged = None  # when the store last took an entry; None while it has none
        self.reaches_store = True
        self.changed = threading.Condition()
        self.server = Server((ip, 0), self.answer)
        self.addr = self.server.server_address
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.ping, daemon=True).start()

    def entry(self):
        entry = {
            "service": "desk", "addr": "%s:%d" % self.addr, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "capacity": CAPACITY, "labels": self.labels,
        }
        if self.remaining_ms is not None:
            entry["remainingMs"] = self.remaining_ms
        return entry

    def ping(self):
        """Writes the entry; when pings stay out, the store drops it after three of them."""
        tried = 0.0
        while True:
            now = time.monotonic()
            if now - tried >= HEARTBEAT_S:
                tried = now
                if self.reaches_store and not self.world.store.down:
                    self.write_entry()
            if self.pinged and now - self.pinged >= SILENT_PINGS * HEARTBEAT_S:
                self.world.store.erase(f"servers/{self.id}")
                self.world.record(f"store: the entry of runner {self.id} lapses after three pings of silence")
                self.pinged = None
            time.sleep(0.02)

    def write_entry(self):
        self.seq += 1
        self.pinged = time.monotonic()
        self.world.store.write(f"servers/{self.id}", self.entry())

    def drain(self, remaining_ms):
        """Says `draining` ahead of a planned end, and writes the entry at once."""
        self.state, self.remaining_ms = "draining", remaining_ms
        self.write_entry()

    def clock_ms(self):
        return self.CLOCK_START_MS + int((time.monotonic() - self.started) * 1000)

    def end(self, task, how):
        run, _, saved = self.running.pop(task)
        self.serial += 1
        self.ended.append([self.serial, task, run, how, saved])
        self.ended_runs[task] = max(run, self.ended_runs.get(task, 0))
        self.world.record(f"runner {self.id}: subtask {task} run {run} ends {how}")
        self.world.run_ended(self, task, run, how)
        self.changed.notify_all()

    def work(self):
        while True:
            with self.changed:
                now = time.monotonic()
                for task in [task for task, (_, done_at, _) in self.running.items() if done_at <= now]:
                    self.end(task, "done")
                if self.running and self.clock_ms() >= self.lease_until:
                    for task in list(self.running):
                        self.end(task, "lapsed")
            time.sleep(0.005)

    def fail(self, task, run):
        """Ends a run as failed, if it is still at work."""
        with self.changed:
            if task in self.running and self.running[task][0] == run:
                self.end(task, "failed")

    def renew(self, until):
        longest = self.clock_ms() + self.world.hold_max_ms
        self.lease_until = max(self.lease_until, min(int(until), longest))

    def answer(self, method, path, query, headers, body):
        if headers.get("Expect-Instance", self.id) != self.id:
            return 421, {"timestampMs": self.clock_ms()}
        value = json.loads(body) if body else {}
        with self.changed:
            stamp = {"timestampMs": self.clock_ms(), "born": self.born}
            fence = value.get("fence", 0)
            if fence < self.fence:
                return 409, stamp | {"reason": "fence"}
            self.fence = fence
            if path == "/v1/run-start":
                return self.start(value, stamp)
            if path == "/v1/run-stop":
                task, run = value["task"], value["run"]
                if task in self.running and self.running[task][0] == run:
                    self.end(task, "stopped")
                self.ended_runs[task] = max(run, self.ended_runs.get(task, 0))
                self.world.record(f"runner {self.id}: stop of {task} run {run} under fence {fence}")
                return 200, stamp
            if path == "/v1/pace":
                return 200, stamp
            if path == "/v1/hold":
                return self.hold(value)
        return 404, {}

    def start(self, value, stamp):
        task, run = value["task"], value["run"]
        if value["untilMs"] <= self.clock_ms():
            return 409, stamp | {"reason": "late"}
        self.renew(value["untilMs"])
        if task in self.running and self.running[task][0] == run:
            return 200, stamp
        if task in self.running or run <= self.ended_runs.get(task, 0):
            return 409, stamp | {"reason": "old"}
        word = value["spec"].split()[0]
        self.work_s[task] = int(word) / 1000 if word.isdigit() else LASTING_S
        if word == "fails":
            threading.Timer(FAILS_AFTER_S, self.fail, (task, run)).start()
        self.running[task] = [run, time.monotonic() + self.work_s[task], ""]
        self.world.record(f"runner {self.id}: subtask {task} run {run} starts under fence {value['fence']}")
        self.world.run_started(self, task, run)
        return 200, stamp

    def hold(self, value):
        self.ended = [end for end in self.ended if end[0] > value.get("lastSeen", 0)]
        if "untilMs" in value:
            self.renew(value["untilMs"])
        until = time.monotonic() + min(value.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        now = time.monotonic()
        percent = lambda task, at: 100 if self.work_s[task] == LASTING_S else max(0, min(99, int(100 - 100 * (at - now) / self.work_s[task])))
        # The fifth entry is the `cpu` in use; no subtask here serves or fills.
        running = [[task, run, saved, percent(task, at), 1000] for task, (run, at, saved) in self.running.items()]
        return 200, {
            "timestampMs": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500],
        }


class MachineService:
    """The platform's list of machines, as it is at the moment of each call. No machine is moved or has its upkeep."""

    def __init__(self, runners):
        self.runners = runners
        self.server = Server(("127.0.0.1", 0), self.answer)
        self.addr = self.server.server_address

    def answer(self, method, path, query, headers, body):
        if (method, path) != ("GET", "/v1/machines"):
            return 400, {}
        return 200, {"machines": [self.row(runner) for runner in self.runners], "nextToken": ""}

    def row(self, runner):
        return {
            "machine": runner.machine, "pool": "desk", "state": "up", "zone": runner.zone, "labels": runner.labels,
            "capacity": CAPACITY, "id": runner.id,
        }


class Box:
    """One process of the program under test, with its settings in the form of `deploy/martend.json`."""

    def __init__(self, world, number, addrs):
        self.world, self.number, self.addrs = world, number, addrs
        self.name = f"box-{number}"
        self.process = None
        self.life = 0

    def start(self):
        self.life += 1
        settings = os.path.join(self.world.folder, f"{self.name}.json")
        with open(settings, "w") as file:
            json.dump({"deployment": self.world.settings(self)}, file)
        log = open(os.path.join(self.world.folder, f"{self.name}-{self.life}.log"), "w")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=env | {"MARTENSCALE_CONFIG": settings}, stdout=log, stderr=log
        )
        log.close()

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def status(self):
        """What the box says of itself on its metrics address; None without an answer."""
        reply = call(self.addrs[3], "GET", "/v1/status", timeout=1)
        return json.loads(reply[1]) if reply and reply[0] == 200 else None

    def is_ready(self):
        reply = call(self.addrs[1], "GET", "/v1/ready", timeout=1)
        return reply is not None and reply[0] == 200

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


def call(addr, method, path, headers=None, body=None, timeout=3.0):
    """Makes one HTTP call on a channel of its own. Returns status and body, or None without an answer."""
    connection = http.client.HTTPConnection(addr[0], addr[1], timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class World:
    """A small deployment: a platform, runners and boxes."""

    def __init__(self, record, boxes=3, runners=4, hold_max_ms=10_000, memory_mb=260):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/release/martend is missing: build it as deploy/system.toml says")
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.hold_max_ms, self.memory_mb = hold_max_ms, memory_mb
        self.lock = threading.Lock()
        self.work = {}  # task -> list of (runner, run) that run now
        self.starts = []  # (time, task, run, runner)
        self.ends = []  # (time, task, run, runner, how)
        self.twice = []
        self.store = Store(self.record)
        pid = os.getpid()
        self.ip = f"127.{1 + pid % 200}.{pid // 200 % 250}."
        self.runners = []
        self.machines = MachineService(self.runners)
        self.boxes = [Box(self, i, self.free_addrs(i)) for i in range(boxes)]
        self.runners.extend(Runner(self, i, self.ip + str(100 + i)) for i in range(runners))

    def free_addrs(self, number):
        """Four free ports on a loopback address of the box alone."""
        ip = self.ip + str(1 + number)
        sockets = [socket.socket() for _ in range(4)]
        for each in sockets:
            each.bind((ip, 0))
        addrs = [each.getsockname() for each in sockets]
        for each in sockets:
            each.close()
        return addrs

    def settings(self, box):
        text = "%s:%d"
        return {
            "box": box.name, "availability_zone": ["a", "b", "c"][box.number % 3],
            "callers_address": text % box.addrs[0], "readiness_address": text % box.addrs[1],
            "peers_address": text % box.addrs[2], "metrics_address": text % box.addrs[3],
            "store_address": text % self.store.addr, "adviser_address": "", "machines_address": text % self.machines.addr,
            "seeds": [text % other.addrs[2] for other in self.boxes[:3]],
            "cpu_share": 0.25, "link_mbps": 1000.0, "memory_mb": self.memory_mb, "descriptors": 4100,
            "shortest_ttl_ms": 1000, "lease_ms": self.hold_max_ms, "far_factor": 3, "grace_ms": 6000,
            "log_level": "info",
        }

    def configure(self, version, queues):
        """Writes a configuration. `queues` maps the name of each queue to its priority."""
        routes = [
            {
                "name": name, "host": HOST, "prefix": f"/{name}/", "service": "desk", "priority": priority,
                "attempts": 3, "stretch": 3.0, "sloMs": 1000, "timeoutMs": 3000, "public": False,
            }
            for name, priority in queues.items()
        ]
        document = {
            "version": version, "routes": routes, "services": [{"name": "desk", "enforcesCapacity": True}],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "court", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
        }
        self.store.write("op/config", document)
        self.record(f"operator: configuration {version} with the queues {', '.join(queues)} is acknowledged")

    def start(self):
        for box in self.boxes:
            box.start()
        self.until("all boxes are ready", 20, lambda: all(box.is_ready() for box in self.boxes))
        self.until("a box schedules all runners", 20, lambda: self.scheduler(len(self.runners)) is not None)
        self.record(f"platform: {len(self.boxes)} boxes are ready, {self.scheduler().name} schedules")

    def scheduler(self, runners=0):
        """Returns the box that schedules and has heard so many runners; None if there is none."""
        for box in self.boxes:
            status = box.status()
            if status and status.get("schedules_with_fence") is not None:
                if status["servers"] - status["unheard_servers"] >= runners:
                    return box
        return None

    def until(self, what, limit_s, check):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            value = check()
            if value:
                return value
            time.sleep(0.02)
        raise CannotRun(f"waited {limit_s} s for: {what}")

    def call(self, method, queue, job, body=None, boxes=None):
        """A call of a consumer, at one box after another until there is an answer other than 502, 503 and 504."""
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Deadline": "3000", "Content-Type": "application/json"}
        text = json.dumps(body) if body is not None else None
        for box in boxes or self.boxes:
            reply = call(box.addrs[0], method, f"/{queue}/{job}", headers, text)
            shown = f"{reply[0]} {reply[1].decode()}" if reply else "no answer"
            self.record(f"consumer: {method} /{queue}/{job} at {box.name} -> {shown}")
            if reply and reply[0] not in (502, 503, 504):
                return reply[0], json.loads(reply[1] or b"{}")
        return None

    def submit(self, queue, job, spec, steps, **more):
        body = {"spec": spec, "steps": steps} | more
        self.record(f"consumer: submits {job} to {queue}: {json.dumps(body)}")
        for _ in range(40):
            reply = self.call("POST", queue, job, body)
            if reply and reply[0] == 200:
                return
            time.sleep(0.25)
        raise CannotRun(f"{job} was not accepted")

    def state(self, queue, job):
        reply = self.call("GET", queue, job)
        return reply[1].get("state") if reply and reply[0] == 200 else None

    def run_started(self, runner, task, run):
        with self.lock:
            here = self.work.setdefault(task, [])
            self.starts.append((time.monotonic(), task, run, runner))
            if here:
                others = ", ".join(f"run {other_run} on runner {other.id}" for other, other_run in here)
                what = f"subtask {task}: run {run} starts on runner {runner.id} while there runs {others}"
                self.twice.append(what)
                self.record(f"RULE: {what}")
            here.append((runner, run))

    def run_ended(self, runner, task, run, how):
        with self.lock:
            self.ends.append((time.monotonic(), task, run, runner, how))
            self.work.get(task, []).remove((runner, run))

    def running(self, job):
        with self.lock:
            return [(task, runner, run) for task, here in self.work.items() if task.startswith(job) for runner, run in here]

    def stop(self):
        for box in self.boxes:
            if box.process and box.process.poll() is None:
                box.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(record, case, **setup):
    """Runs a case, writes what was sent, answered and run to `record`, and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    world = None

    def end(*_):
        raise CannotRun("the time is over")

    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)
    try:
        world = World(record, **setup)
        broken = case(world)
        world.record(f"verdict: the rule was broken: {broken}" if broken else "verdict: the rule held")
        print(f"broken: {broken}" if broken else "held")
        return 1 if broken else 0
    except Exception as error:  # also a fault of the case itself: it says nothing of the rule
        if world:
            world.record(f"verdict: the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    finally:
        if world:
            world.stop()
