"""A job that names many jobs that are done, and a crash of all controllers."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import ZONES, Rig, main  # noqa: E402

KINDS = {"till-box": {"cores": 4.0, "accelerators": 0.0, "memGb": 16.0, "cacheGb": 40.0, "pullGbPerS": 0.4,
                      "price": 0.21, "marketPrice": 0.08, "startupS": 50, "dens": ZONES}}
STEPS = 840       # jobs that the last one names
OTHERS = 8        # jobs for comparison
USERS = 20        # that submit at once
BOUND_S = 75.0    # the page's bound
LAST_ID, OTHER_ID = 900000, 900001


async def case(folder, trouble):
    rig = Rig(folder, state={"rps": 100.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 12},
              quiet=("start", "on", "off", "done"))
    try:
        await rig.start(KINDS, [("till-box", ZONES[i % 3], False) for i in range(24)],
                        capacity={("till-box", zone, False): 16 for zone in ZONES})
        if not await rig.healthy():
            print("the controllers did not become healthy")
            return 2
        steps = [rig.job(number, 0.1, cores=0.5, memGb=0.5) for number in range(1, STEPS + 1)]
        gate = asyncio.Semaphore(USERS)

        async def submit(spec, node):
            async with gate:
                return await rig.submit(spec, node)
        accepted = await asyncio.gather(*[submit(spec, k % rig.n) for k, spec in enumerate(steps)])
        others = [rig.job(OTHER_ID + k, 300.0) for k in range(OTHERS)]
        last = rig.job(LAST_ID, 300.0, guild="gate-pick", awaits=[spec["nameId"] for spec in steps])
        accepted += [await rig.submit(spec) for spec in others] + [await rig.submit(last)]
        if any(status not in (200, 201) for status in accepted):
            print("not all jobs were accepted")
            return 2
        until = rig.now() + 20.0  # it runs once all that it names are done
        while not any(f"{last['nameId']}/0" in (task.kit for task in worker.tasks.values())
                      for worker in rig.fleet.workers()):
            if rig.now() > until:
                print("the last job did not begin to run")
                return 2
            await asyncio.sleep(0.1)
        rig.record("last_job_runs")
        if trouble:
            for node in range(rig.n):
                rig.kill_node(node)
            await asyncio.sleep(3.0)
            for node in range(rig.n):
                rig.start_node(node)
        if not await rig.healthy():
            print("the controllers did not become healthy again")
            return 2
        rig.record("troubles_over")
        over_at, n_last, n_others, n_others_answered, answered_at = rig.now(), 0, 0, 0, None
        while rig.now() - over_at <= BOUND_S and answered_at is None:
            answers = await asyncio.gather(*[rig.poll(last["nameId"], node) for node in range(rig.n)])
            n_last += len(answers)
            if any(status == 200 for status, _ in answers):
                answered_at = rig.now() - over_at
            answers = await asyncio.gather(*[rig.poll(spec["nameId"]) for spec in others])
            n_others += len(answers)
            n_others_answered += sum(status == 200 for status, _ in answers)
            await asyncio.sleep(2.0)
        broken = answered_at is None
        first = "none of them" if broken else f"the first after {answered_at:.1f} s"
        print(f"{n_last} questions about the last job at all controllers in {rig.now() - over_at:.1f} s after the"
              f" troubles, answered: {first}; about other jobs {n_others_answered} of {n_others} answered")
        rig.record("verdict", broken=broken, questions=n_last, answered_after_s=answered_at, others=n_others,
                   others_answered=n_others_answered)
        return 1 if broken else 0
    finally:
        rig.close()


main(case, os.path.dirname(os.path.abspath(__file__)))
