"""LOST: once runners are added, no job of a queue with advice starts any more: each ticket counts as over on arrival."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform2 import Http, configuration, job_id, main, route, step

RUNNERS = 24
# `scale_out`: share 0.25 more runners.
ADDED = 6
GPUS = 8
ADVICE = {"decide_ms": 500, "each_ms": 85, "valid_ms": 3000}
# One of the first runners may not run any step of the queue.
REFUSED = "m-00"
IDLE_S = 3.0
# `finish_s` of the site: when the jobs are asked after the traffic ends.
FINISH_S = 14.0
WATCHED_S = 30.0


class Advice:
    """The service that decides which runners may run a step: one call at a time, tickets valid from the answer on."""

    def __init__(self, platform):
        self.platform = platform
        self.turn = asyncio.Lock()
        self.tickets = {}

    async def answer(self, call):
        body = json.loads(call["body"])
        workers = body["workers"]
        async with self.turn:
            await asyncio.sleep((ADVICE["decide_ms"] + ADVICE["each_ms"] * len(workers)) / 1000)
        good = []
        for worker in workers:
            if REFUSED not in worker:
                ticket = f"t-{len(self.tickets)}"
                self.tickets[ticket] = (body["step"], worker, time.monotonic() + ADVICE["valid_ms"] / 1000)
                good.append([worker, ticket])
        self.platform.record(f"advice on {body['step']}: asked {len(workers)}, good {len(good)}")
        return 200, {"good": good, "valid_ms": ADVICE["valid_ms"]}

    def allows(self, runner, task, ticket):
        step_name, worker, until = self.tickets.get(ticket, (None, None, 0))
        return step_name == task.rsplit(".", 1)[0] and worker == runner.id and time.monotonic() <= until


async def case(platform, trouble):
    for i in range(RUNNERS):
        await platform.add_runner(f"m-{i:02}", f"z{i % 3 + 1}", ["a", f"r1-{i // 8}"])
    await platform.begin(configuration([dict(route("desk", 1), advice=ADVICE)]))
    advice = Advice(platform)
    platform.advice = advice
    platform.advice_addr = (await Http(advice.answer).open()).addr
    await platform.start_box("box-1", "z1")
    await platform.start_box("box-2", "z2", 0.5)
    await platform.until_ready("box-1")
    await platform.until_ready("box-2")
    await platform.until("a box is elected", platform.scheduler, 15)
    await asyncio.sleep(1)
    started, done = set(), set()
    platform.on_start = lambda runner, task, run, box: started.add(task.split(".")[0])
    platform.on_end = lambda runner, task, run, how: done.add(task.split(".")[0]) if how == "done" else None
    body = {"spec": '{"ms": 500, "gpu": 1}', "steps": [dict(step(1, 1), estimateMs=500)]}

    async def submit():
        job = job_id()
        status, _ = await platform.call("box-2", "POST", f"/desk/{job}", body)
        return job if status == 200 else None

    before = await submit()
    await platform.until("a job is done before the runners are added", lambda: before in done, 20)
    if trouble:
        for i in range(RUNNERS, RUNNERS + ADDED):
            await platform.add_runner(f"m-{i:02}", f"z{i % 3 + 1}", ["a", f"r1-{i // 8}"])
    await asyncio.sleep(3)
    job = await platform.until("a job is accepted", submit, 10)
    accepted = time.monotonic()
    while time.monotonic() < accepted + WATCHED_S and job not in done:
        await asyncio.sleep(0.1)
    waited = time.monotonic() - accepted
    _, answer = await platform.call("box-1", "GET", f"/desk/{job}")
    # The rule's last case, `finish_s` after the traffic. The service is idle all the while.
    if job not in started and waited > FINISH_S + IDLE_S:
        return [f"LOST: nothing of the accepted job {job} has run for {waited:.1f} s, with all "
                f"{GPUS * len(platform.runners)} GPUs free; it is {answer}"]
    return []


main(case, "record.txt")
