"""Nightly jobs for a year are accepted. The box that schedules goes over its memory and is killed, and so is each next."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import SHORT_RESTART_S, TROUBLE, call, run

JOBS = 60
COUNT = 39  # width of the batches on the sheets of the grown deployments
NIGHTS = 365 if TROUBLE else 6  # how often the jobs run; without the disruption as often as on the site files
DAY_MS = 24 * 3600 * 1000
PLAIN_JOB = "1f0000000000ffff"
PLAIN_MS = 3_000
WATCH_S = 60.0  # far beyond finish_s (14 s) and the 3 s without a run


class MemoryLimit:
    """The platform: a process that goes over `memoryMb` is killed, and is started again after a short delay."""

    def __init__(self, world):
        self.world = world
        self.kills = []
        self.largest_mb = 0.0
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        restarts = {}
        while not self.over.is_set():
            for box in self.world.boxes:
                if box in restarts:
                    if time.monotonic() >= restarts[box]:
                        del restarts[box]
                        box.start()
                    continue
                used_mb = box.resident_mb()
                self.largest_mb = max(self.largest_mb, used_mb)
                if used_mb > self.world.memory_mb:
                    box.kill()
                    self.kills.append(box.name)
                    self.world.record(f"platform: {box.name} holds {used_mb:.0f} MB of {self.world.memory_mb} and is killed")
                    restarts[box] = time.monotonic() + SHORT_RESTART_S
            time.sleep(0.01)

    def end(self):
        self.over.set()
        self.thread.join()


def case(world):
    world.configure(1, {"desk": 1, "nightly": 2})
    world.start()
    limit = MemoryLimit(world)
    first_ms = int(time.time() * 1000) + 8 * 3600 * 1000
    batch = {"count": COUNT, "cpu": 2800, "memMb": 1000, "gpu": 1, "estimateMs": 7600}
    try:
        for number in range(JOBS):
            job = f"1f{number:014x}"
            world.submit("nightly", job, "7600 x", [batch], times=NIGHTS, firstMs=first_ms, intervalMs=DAY_MS)
        plain = {"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": PLAIN_MS}
        world.submit("desk", PLAIN_JOB, f"{PLAIN_MS} x", [plain, plain | {"sinceRev": [0]}])
        accepted = time.monotonic()
        state = None
        while time.monotonic() < accepted + WATCH_S and state != "succeeded":
            time.sleep(1.0)
            state = world.state("desk", PLAIN_JOB)
    finally:
        limit.end()
    started = sum(task.startswith(PLAIN_JOB) for _, task, _, _ in world.starts)
    world.record(f"plain job: {state}, subtasks started: {started}; kills: {len(limit.kills)}; most memory: {limit.largest_mb:.0f} MB")
    if state == "succeeded":
        return ""
    return (
        f"{time.monotonic() - accepted:.0f} s after a job of {2 * PLAIN_MS} ms was accepted it is {state}, subtasks started: "
        f"{started}, and all runners are idle; {len(limit.kills)} times a box went over its {world.memory_mb} MB"
    )


sys.exit(run(FOLDER, case))
