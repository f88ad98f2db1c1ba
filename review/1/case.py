"""Three huge arrays of one team, and the platform's limit of memory."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from rig import Rig, main  # noqa: E402

ZONES = ["graz-cellar", "linz-loft", "innsbruck-rack"]
KINDS = {"valley-node": {"cores": 8.0, "accelerators": 0.0, "memGb": 64.0, "cacheGb": 50.0, "pullGbPerS": 1.0,
                         "price": 0.63, "marketPrice": 0.13, "startupS": 30, "dens": ZONES}}
TEAMS = [{"name": f"coord-circle-{k}", "cpus": 16.0, "gpus": 0.0, "cpus_max": 48.0, "gpus_max": 0.0}
         for k in range(1, 13)]
TEAMS.append({"name": "alpen-ringers", "cpus": 0.0, "gpus": 0.0, "cpus_max": 48.0, "gpus_max": 0.0})
HUGE = 100000    # the most that the protocol page allows
ORDINARY = 56    # the largest array of the brief
WATCHED_S = 60.0


async def case(folder, trouble):
    rig = Rig(folder, zones=ZONES, teams=TEAMS,
              state={"rps": 250.0, "write_rps": 15.0, "value_kb": 4.0, "txn_ops": 12},
              workers={"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 50.0, "gang_peer_s": 6.0, "cancel_s": 36.0},
              cloud={"rps": 8.0, "list_lag_s": 8.0},
              resources={"cpu": 0.08, "ram_mb": 56.0, "max_sockets": 700}, quiet=("start", "on", "off", "done"))
    rig.kills_for_memory, rig.back_s = True, 5.0
    try:
        await rig.start(KINDS, [("valley-node", ZONES[i % 3], False) for i in range(20)],
                        capacity={("valley-node", zone, False): 10 for zone in ZONES})
        if not await rig.healthy():
            print("the controllers did not become healthy")
            return 2
        portal = rig.job(1, 0, gait="service", kits=3, guild="sighting-portal", flock="coord-circle-1",
                         rank="critical", cores=2.0, memGb=9.8, pelt="portal", sizeGb=1.5, spread=True, strays=False)
        if await rig.submit(portal) != 201:
            return 2
        await asyncio.sleep(8)
        kits = HUGE if trouble else ORDINARY
        huge = [rig.job(number, 40.0, kits=kits, guild="ring-archive", flock="alpen-ringers", cores=2.0, memGb=12.0,
                        pelt="rings", sizeGb=0.5) for number in (2, 3, 4)]
        for spec in huge:
            if await rig.submit(spec, total_s=20.0) not in (200, 201):
                rig.record("not_accepted", job=spec["nameId"])
        until, n_polls, n_answered = rig.now() + WATCHED_S, 0, 0
        while rig.now() < until:
            for node in range(rig.n):
                status, _ = await rig.poll(portal["nameId"], node=node)
                n_polls, n_answered = n_polls + 1, n_answered + (status == 200)
            await asyncio.sleep(0.5)
        ends, lost = len(rig.memory_ends), sum(w.tenure - 1 for w in rig.fleet.workers())
        peaks = ", ".join(f"{mb:.1f}" for mb in rig.peak_mb)
        print(f"arrays of {kits} tasks: {ends} ends for memory (limit {rig.resources['ram_mb']:.0f} MB, peaks {peaks} MB),"
              f" {len(rig.unexpected)} ends by itself, {n_answered} of {n_polls} polls of the portal answered,"
              f" {lost} worker leases lost")
        rig.record("verdict", ends_for_memory=ends, ends_by_itself=len(rig.unexpected), polls=n_polls,
                   answered=n_answered, leases_lost=lost, peak_mb=[round(mb, 1) for mb in rig.peak_mb])
        if rig.unexpected:  # for example a port that was taken; not what this case is about
            return 2
        return 1 if ends > 0 else 0
    finally:
        rig.close()


main(case, os.path.dirname(os.path.abspath(__file__)))
