"""LOST: beside one gang that no fleet of this size can run, no other job of its tenant's queue starts on idle runners."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from platform2 import configuration, job_id, main, route, step

RUNNERS = 24
GPUS = 8
IDLE_S = 3.0
JOBS = 30
EVERY_S = 0.8
# One job in thirty-one: a gang of 26 subtasks of 8 GPUs, where there are 24 runners of 8 GPUs.
GANG = 26


async def case(platform, trouble):
    for i in range(RUNNERS):
        await platform.add_runner(f"m-{i:02}", f"z{i % 3 + 1}", ["a", f"r1-{i // 8}"])
    await platform.begin(configuration([route("transcribe", 1)]))
    await platform.start_box("box-1", "z1")
    await platform.start_box("box-2", "z2", 0.5)
    await platform.until_ready("box-1")
    await platform.until_ready("box-2")
    await platform.until("a box is elected", platform.scheduler, 15)
    accepted, started, busy_at = {}, {}, [time.monotonic()]
    platform.on_start = lambda runner, task, run, box: started.setdefault(task.split(".")[0], time.monotonic())
    if trouble:
        gang = dict(step(GANG, 8), gang=True, estimateMs=4000)
        await platform.call("box-1", "POST", f"/transcribe/{job_id()}", {"spec": '{"ms": 4000, "gpu": 8}', "steps": [gang]})

    async def watch_use():
        while True:
            used = sum(run.spec["gpu"] for runner in platform.runners for run in runner.running.values())
            if used >= RUNNERS * GPUS / 2:
                busy_at.append(time.monotonic())
            await asyncio.sleep(0.02)

    watch = asyncio.get_running_loop().create_task(watch_use())
    body = {"spec": '{"ms": 300, "gpu": 1}', "steps": [dict(step(1, 1), estimateMs=300)]}
    for _ in range(JOBS):
        job = job_id()
        if (await platform.call("box-2", "POST", f"/transcribe/{job}", body))[0] == 200:
            accepted[job] = time.monotonic()
        await asyncio.sleep(EVERY_S)
    await asyncio.sleep(IDLE_S + 1)
    watch.cancel()
    now = time.monotonic()
    # Less than half of the service is in use all the while, and a job needs one GPU of 192.
    waits = {job: started.get(job, now) - max(at, busy_at[-1]) for job, at in accepted.items()}
    late = {job: wait for job, wait in waits.items() if wait > IDLE_S}
    for job, wait in late.items():
        platform.record(f"{job} waited {wait:.1f} s" + ("" if job in started else ", and has not started"))
    if not late:
        return []
    return [f"LOST: {len(late)} of {len(accepted)} accepted jobs had nothing running for more than {IDLE_S:.0f} s, up to "
            f"{max(late.values()):.1f} s, with less than half of the service in use throughout"]


main(case)
