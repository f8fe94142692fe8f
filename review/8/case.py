"""AVAIL: one urgent job stops two subtasks of a lasting step that allows one to be away."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform2 import configuration, job_id, main, route, step

NOTICE_S = 4.5
MAY_MISS = 1


async def case(platform, trouble):
    # Two lasting subtasks and two long ones fill four runners; the lasting ones have run for a shorter time.
    broken = []
    for i in range(4):
        await platform.add_runner(f"m-{i}", ["z1", "z2"][i % 2], ["a", "r1-0"])
    await platform.begin(configuration([route("serve", 2), route("urgent", 0)]))
    await platform.start_box("box-1", "z1")
    await platform.start_box("box-2", "z2", 0.5)
    await platform.until_ready("box-1")
    await platform.until_ready("box-2")
    lasting = job_id()
    away_since = {}

    def members():
        return {task: run for r in platform.runners for task, run in r.running.items() if task.startswith(lasting)}

    def on_start(runner, task, run, box):
        away_since.pop(task, None)

    def on_end(runner, task, run, how):
        if not task.startswith(lasting):
            return
        now = time.monotonic()
        # Away: ended by an order of the system, or gone for any cause for `notice_ms`.
        others = [t for t, (since, ordered) in away_since.items() if t != task and (ordered or now - since >= NOTICE_S)]
        if how == "stopped" and run.at_work(now) and len(others) >= MAY_MISS:
            broken.append(f"AVAIL: a stop ends {task} at work on {runner.id}, while {sorted(others)} are away")
        away_since[task] = (now, how == "stopped")

    platform.on_start, platform.on_end = on_start, on_end
    body = {"spec": '{"lasting": true, "gpu": 8}',
            "steps": [step(4, 8, longRunning=True, may_miss=MAY_MISS, antiAffinity=1)]}
    await platform.until("the lasting job is accepted",
                         lambda: accepted(platform, f"/serve/{lasting}", body), 20)
    now = time.monotonic
    await platform.until("all lasting subtasks are at work",
                         lambda: len(members()) == 4 and all(run.at_work(now()) for run in members().values()), 20)
    await asyncio.sleep(2.5)
    if trouble:
        urgent = {"spec": '{"ms": 8000, "gpu": 8}', "steps": [dict(step(2, 8), estimateMs=8000)]}
        await platform.call("box-1", "POST", f"/urgent/{job_id()}", urgent)
    await asyncio.sleep(8)
    return broken


async def accepted(platform, path, body):
    return (await platform.call("box-1", "POST", path, body))[0] == 200


main(case, "record.txt")
