"""The store is away and the entries of the runners lapse; as it returns, a draining runner is cut off and runs on."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import TROUBLE, Server, run

JOB = "1f00000000000001"
WORK_MS = 12_000
REMAINING_MS = 20_000  # the least time that the draining runner says it stays
STORE_DOWN_S = 6.0
CUT_S = 1.5  # so that the entry is back within two seconds of the return of the store
# The disturbances; a run without one of them shows which ones it takes.
STEPS = os.environ.get("STEPS", "drain,store,cut").split(",") if TROUBLE else []


def case(world):
    world.configure(1, {"desk": 1})
    world.start()
    world.submit("desk", JOB, f"{WORK_MS} x", [{"count": 1, "cpu": 2000, "memMb": 1000, "gpu": 8, "estimateMs": WORK_MS}])
    _, runner, _ = world.until("the subtask runs", 10, lambda: world.running(JOB))[0]
    time.sleep(3.0)
    if "drain" in STEPS:
        world.record(f"platform: runner {runner.id} says draining, remainingMs {REMAINING_MS}")
        runner.drain(REMAINING_MS)
    time.sleep(0.5)
    if "store" in STEPS:
        world.record("disturbance: the store is down (busy)")
        world.store.set_down(True)
    time.sleep(STORE_DOWN_S)

    def heal():
        runner.server = Server(runner.addr, runner.answer)
        runner.reaches_store = True
        runner.write_entry()
        world.record(f"disturbance: runner {runner.id} is reached again, and its entry is back")

    def cut(gone=None):
        if "cut" not in STEPS or not runner.reaches_store or gone is not None and f"servers/{runner.id}" not in gone:
            return
        runner.reaches_store = False
        runner.server.cut()
        world.record(f"disturbance: runner {runner.id} is cut off from all boxes and the store (refuse), and runs on")
        threading.Timer(CUT_S, heal).start()

    if "store" in STEPS:
        world.store.on_gone = cut
        world.store.set_down(False)
        world.record("disturbance: the store serves again")
    else:
        cut()
    end = time.monotonic() + 50
    while time.monotonic() < end and world.state("desk", JOB) != "succeeded":
        time.sleep(0.5)
    done = sum(how == "done" for _, _, _, _, how in world.ends)
    world.record(f"starts of the subtask: {len(world.starts)}, ends done: {done}")
    return "; ".join(world.twice)


sys.exit(run(sys.argv[1], case))
