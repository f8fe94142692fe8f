"""A queue is taken out of the configuration; then the box that schedules is killed. A job accepted before is left."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import SHORT_RESTART_S, TROUBLE, CannotRun, run

JOB = "2f00000000000001"
STEP_MS = 6_000
FINISH_S = 14.0  # finish_s
CALM_S = 7.0  # the 3 s without a run and the 4 s before them, all calm
# The disturbances; a run without one of them shows which ones it takes.
STEPS = os.environ.get("STEPS", "config,kill").split(",") if TROUBLE else []


def case(world):
    world.configure(1, {"desk": 1, "archive": 1})
    world.start()
    work = {"count": 2, "cpu": 2000, "memMb": 1000, "gpu": 1, "estimateMs": STEP_MS}
    world.submit("archive", JOB, f"{STEP_MS} x", [work, work | {"sinceRev": [0]}])
    world.until("both subtasks of the first step run", 10, lambda: len(world.running(JOB)) == 2)
    time.sleep(0.5)
    if "config" in STEPS:
        world.configure(4, {"desk": 1})
    time.sleep(2.5)
    if "kill" in STEPS:
        box = world.scheduler()
        if box is None:
            raise CannotRun("no box schedules")
        box.kill()
        world.record(f"disturbance: {box.name}, which schedules, is killed")
        time.sleep(SHORT_RESTART_S)
        box.start()
    calm_from = time.monotonic()
    queue = "desk" if "config" in STEPS else "archive"
    idle_since = None
    state = None
    while time.monotonic() < calm_from + 2 * FINISH_S + CALM_S and state != "succeeded":
        time.sleep(0.5)
        state = world.state(queue, JOB)
        if world.running(JOB):
            idle_since = None
        elif idle_since is None:
            idle_since = time.monotonic()
    started = {task for _, task, _, _ in world.starts}
    world.record(f"subtasks started: {sorted(started)}; the job appears as {state}")
    if state == "succeeded":
        return ""
    idle_s = time.monotonic() - max(idle_since or time.monotonic(), calm_from)
    if idle_s < CALM_S:
        raise CannotRun(f"the job has not ended, and nothing of it has run for {idle_s:.1f} s only")
    return (
        f"{time.monotonic() - calm_from:.0f} s after the last disturbance the accepted job has not ended ({state}); nothing "
        f"of it has run for {idle_s:.0f} s, though its second step may start and all runners are idle"
    )


sys.exit(run(sys.argv[1], case))
