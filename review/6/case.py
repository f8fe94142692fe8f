"""LOST: beside one gang that no fleet of this size can run, no other job of its tenant's queue starts on idle runners."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform2 import configuration, job_id, main, route, step

RUNNERS = 24
GPUS = 8
IDLE_S = 3.0
JOBS = 30
EVERY_S = 1.6
# One job in thirty-one: a gang of 26 subtasks of 8 GPUs, where there are 24 runners of 8 GPUs.
GANG = 26
# Work of a subtask of full-transcribe.
GANG_MS = 11_000
# `finish_s` of the site: when the jobs are asked after the traffic ends.
FINISH_S = 14.0


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
        gang = dict(step(GANG, 8), gang=True, estimateMs=GANG_MS)
        await platform.call("box-1", "POST", f"/transcribe/{job_id()}", {"spec": '{"ms": 11000, "gpu": 8}', "steps": [gang]})

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
    # The rule's last case, `finish_s` after the traffic: for 3 s nothing of the job runs, there is twice the room that it
    # needs, and less than half of the service is in use.
    await asyncio.sleep(FINISH_S + IDLE_S)
    watch.cancel()
    now = time.monotonic()
    calm = now - busy_at[-1] > IDLE_S
    late = [job for job in accepted if job not in started]
    for job in late:
        platform.record(f"{job} has not started, {now - accepted[job]:.1f} s after it was accepted")
    if not late or not calm:
        return []
    return [f"LOST: {len(late)} of {len(accepted)} accepted jobs of one GPU have had nothing running from {FINISH_S:.0f} s "
            f"after the traffic on for {IDLE_S:.0f} s, with less than half of the service in use"]


main(case, "record.txt")
