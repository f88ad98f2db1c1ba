"""Stand-ins for the cloud and its workers, after "Workers -> controller nodes", "Controller nodes -> workers",
"Gangs" and "Controller nodes -> cloud" of the protocol page."""
import asyncio
import random
import time

from web import Client, Server


class Task:
    def __init__(self, kit, attempt, job):
        self.kit, self.attempt, self.job = kit, attempt, job
        self.state, self.cause, self.stored = "fetching", None, False
        self.on = False  # it has its image, and has not ended
        self.runner = None


class Worker:
    def __init__(self, fleet, name, kind, zone, spot=False):
        self.fleet, self.name, self.kind, self.zone, self.spot = fleet, name, kind, zone, spot
        self.tenure, self.tick, self.token = 1, 0, 0
        self.tasks = {}       # (kit, attempt) -> Task, in the order of the starts
        self.images, self.fetches = set(), {}
        self.node = random.randrange(len(fleet.fronts))
        self.wake = asyncio.Event()
        self.loop_task = self.lease_task = None
        self.server = None
        self.lease_from = time.monotonic()
        self.is_gone = False
        self.hung_until = 0.0
        self.reaches_nodes = lambda node: True   # whether a report reaches the node
        self.takes_answers = lambda node: True
        self.n_answered = 0

    async def start(self):
        self.server = await Server(self._handle).start()
        self.lease_from = time.monotonic()
        self.loop_task = asyncio.create_task(self._report_loop())
        self.lease_task = asyncio.create_task(self._lease_loop())

    @property
    def addr(self):
        return f"127.0.0.1:{self.server.port}"

    def stop(self):
        """The machine is gone, with all that is on it."""
        self.is_gone = True
        for task in self.tasks.values():
            self._end(task, None)
        self.tasks = {}
        for each in (self.loop_task, self.lease_task):
            if each is not None:
                each.cancel()
        if self.server is not None:
            self.server.close()

    # tasks

    def _free(self):
        kind = self.fleet.kinds[self.kind]
        cores, gpus, mem = kind["cores"], kind["accelerators"], kind["memGb"]
        for task in self.tasks.values():
            if task.state != "ended" and task.job is not None:
                cores -= task.job["cores"]
                gpus -= task.job["accelerators"]
                mem -= task.job["memGb"]
        return cores, gpus, mem

    def _set(self, task, state, cause=None):
        task.state, task.cause = state, cause
        self.wake.set()

    def _end(self, task, cause):
        if task.runner is not None:
            task.runner.cancel()
            task.runner = None
        if task.on:
            task.on = False
            self.fleet.record("off", kit=task.kit, machine=self.name, attempt=task.attempt, cause=cause)
        if cause is not None:
            self._set(task, "ended", cause)

    def _start(self, kit, attempt):
        if (kit, attempt) in self.tasks:
            return
        job_id, number = kit.split("/")
        job = self.fleet.jobs.get(job_id)
        task = Task(kit, attempt, job)
        self.fleet.record("start", kit=kit, machine=self.name, attempt=attempt)
        if job is None or int(number) >= job["kits"]:
            self.tasks[(kit, attempt)] = task
            task.job = None
            self._set(task, "ended", "no_such")
            return
        if any(t.kit == kit and t.state != "ended" for t in self.tasks.values()):
            cause = "busy"
        else:
            cores, gpus, mem = self._free()
            fits = (job["cores"] <= cores + 1e-6 and job["accelerators"] <= gpus + 1e-6
                    and job["memGb"] <= mem + 1e-6)
            cause = None if fits else "no_room"
        self.tasks[(kit, attempt)] = task
        if cause is not None:
            self.fleet.record("refused", kit=kit, machine=self.name, attempt=attempt, cause=cause)
            self._set(task, "ended", cause)
            return
        task.runner = asyncio.create_task(self._run(task))
        self.wake.set()

    async def _fetch(self, image, size_gb):
        if image in self.images:
            return
        if image not in self.fetches:
            self.fetches[image] = asyncio.create_task(
                asyncio.sleep(size_gb / self.fleet.kinds[self.kind]["pullGbPerS"]))
        await asyncio.shield(self.fetches[image])
        self.images.add(image)
        self.fetches.pop(image, None)

    async def _run(self, task):
        job = task.job
        await self._fetch(job["pelt"], job["sizeGb"])
        task.on = True
        self.fleet.record("on", kit=task.kit, machine=self.name, attempt=task.attempt)
        if task.kit in self.fleet.results:
            task.runner = None
            self._end(task, "done")
            return
        if job["gait"] == "group" and job["kits"] > 1:
            await self._run_in_gang(task)
            return
        self._set(task, "running")
        if job["gait"] == "service":
            await asyncio.Event().wait()
        await asyncio.sleep(self.fleet.run_s(task.kit))
        self.fleet.results.add(task.kit)
        self.fleet.record("done", kit=task.kit, machine=self.name, attempt=task.attempt)
        task.runner = None
        self._end(task, "done")

    async def _run_in_gang(self, task):
        """The tasks of an attempt start together, complete together, and notice when one is gone."""
        gang = self.fleet.gang(task)
        self._set(task, "gathering")
        gang["kits"].add(task.kit)
        if len(gang["kits"]) == task.job["kits"]:
            gang["complete"].set()
        cause = "alone"
        try:
            await asyncio.wait_for(gang["complete"].wait(), self.fleet.settings["gang_wait_s"])
            self._set(task, "running")
            cause = "peers"
            run = asyncio.create_task(asyncio.sleep(self.fleet.run_s(task.kit)))
            lost = asyncio.create_task(gang["lost"].wait())
            over = asyncio.create_task(gang["over"].wait())
            try:
                await asyncio.wait([run, lost, over], return_when=asyncio.FIRST_COMPLETED)
                if (run.done() or over.done()) and not lost.done():
                    cause = "done"
                    gang["over"].set()
                    self.fleet.results.update(f"{task.kit.split('/')[0]}/{k}" for k in range(task.job["kits"]))
                    self.fleet.record("done", kit=task.kit, machine=self.name, attempt=task.attempt)
                elif lost.done():
                    await asyncio.sleep(random.uniform(0, self.fleet.settings["gang_peer_s"]))
            finally:
                for each in (run, lost, over):
                    each.cancel()
        except asyncio.TimeoutError:
            pass
        finally:
            gang["kits"].discard(task.kit)
            if gang["complete"].is_set() and not gang["over"].is_set():
                gang["lost"].set()
        task.runner = None
        self._end(task, cause)

    def _command(self, call):
        kit, attempt = call["kit"], call["try"]
        task = self.tasks.get((kit, attempt))
        if call["call"] == "start":
            self._start(kit, attempt)
        elif call["call"] == "kill" and task is not None and task.state != "ended":
            self._end(task, "halted")
        elif call["call"] == "clear" and task is not None and task.state == "ended":
            del self.tasks[(kit, attempt)]
            self.wake.set()

    # reports and commands

    def report(self):
        self.tick += 1
        kits = []
        for task in self.tasks.values():
            item = {"kit": task.kit, "try": task.attempt, "mood": task.state}
            if task.state == "ended":
                item["cause"] = task.cause
            kits.append(item)
        return {"burrow": self.name, "addr": self.addr, "breed": self.kind, "den": self.zone, "strays": self.spot,
                "tenure": self.tenure, "tick": self.tick, "warrant": self.token, "warningS": None, "kits": kits}

    async def _handle(self, method, path, query, body):
        if self.is_gone:
            return None
        await self._hang()
        if path == "/status":
            return 200, self.report()
        if path != "/do" or body is None or "warrant" not in body or "tenure" not in body:
            return 400, {}
        if body["warrant"] < self.token or body["tenure"] != self.tenure:
            return 409, self.report()
        if body["warrant"] > self.token:
            self.token = body["warrant"]
            self._token_rose()
        for call in body.get("calls", []):
            self._command(call)
        return 200, self.report()

    async def _hang(self):
        while time.monotonic() < self.hung_until:
            await asyncio.sleep(0.05)

    def _token_rose(self):
        now = time.monotonic()
        if now - getattr(self, "token_change_at", -1e9) >= self.fleet.settings["lease_s"] / 2:
            self.token_change_at = now
            self.wake.set()

    async def _lease_loop(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.lease_from > self.fleet.settings["lease_s"]:
                self.fleet.record("lease", machine=self.name, tenure=self.tenure)
                for task in self.tasks.values():
                    self._end(task, None)
                self.tasks = {}
                self.tenure += 1
                self.lease_from = time.monotonic()
                self.wake.set()

    async def _report_loop(self):
        clients = [Client(port) for port in self.fleet.fronts]
        period = self.fleet.settings["report_s"]
        while True:
            await self._hang()
            self.wake.clear()
            sent_at, tenure = time.monotonic(), self.tenure
            node = self.node
            body = self.report()
            self.n_reports = getattr(self, "n_reports", 0) + 1
            if self.reaches_nodes(node):
                status, answer, _ = await clients[node].request("POST", "/checkin", body, 4.0)
            else:
                await asyncio.sleep(4.0)
                status, answer = 0, None
            await self._hang()
            if time.monotonic() - sent_at > 4.0 or not self.takes_answers(node):
                status, answer = 0, None
            if status == 200:
                self._take_answer(answer, sent_at, tenure)
            elif status == 421 and answer and answer.get("denMaster") in self.fleet.labels \
                    and self.fleet.labels.index(answer["denMaster"]) != node:
                clients[node].close()
                self.node = self.fleet.labels.index(answer["denMaster"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                self.fleet.record("failed_report", machine=self.name, node=node, status=status)
                self.node = (node + 1) % len(self.fleet.fronts)
                await asyncio.sleep(1.0)
                continue
            wait = period * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0.0, sent_at + 0.5 - time.monotonic()))
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.001, sent_at + wait - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    def _take_answer(self, answer, sent_at, tenure):
        token = (answer or {}).get("warrant")
        if token is None or token < self.token or tenure != self.tenure:
            return
        self.n_answered += 1
        if token > self.token:
            self.token = token
            self._token_rose()
        self.lease_from = max(self.lease_from, sent_at)
        for call in answer.get("calls", []):
            self._command(call)


class Fleet:
    """The cloud and its machines."""

    def __init__(self, settings, kinds, record, fronts, labels, capacity=None):
        self.settings, self.kinds, self.record = settings, kinds, record
        self.fronts, self.labels = fronts, labels
        self.jobs = {}      # id -> the submitted job
        self.run_times = {}  # id -> run time of a task, in seconds
        self.results = set()  # kits that have completed
        self.machines = {}  # name -> {"worker", "kind", "zone", "spot", "at", "up"}
        self.capacity = capacity or {}
        self.hires = {}
        self.next_name = 1
        self.gangs = {}
        self.is_down = False
        self.server = None
        self.requests = []

    async def start(self):
        self.server = await Server(self._handle).start()
        return self.server.port

    def close(self):
        for machine in self.machines.values():
            if machine["worker"] is not None:
                machine["worker"].stop()
        if self.server is not None:
            self.server.close()

    def run_s(self, kit):
        value = self.run_times[kit.split("/")[0]]
        return value(kit) if callable(value) else value

    def gang(self, task):
        key = (task.kit.split("/")[0], task.attempt)
        return self.gangs.setdefault(key, {"kits": set(), "complete": asyncio.Event(), "lost": asyncio.Event(),
                                           "over": asyncio.Event()})

    async def add_machine(self, kind, zone, spot=False, boot_s=0.0):
        name = f"m-{self.next_name:06d}"
        self.next_name += 1
        machine = {"worker": None, "kind": kind, "zone": zone, "spot": spot, "at": time.monotonic(), "up": False}
        self.machines[name] = machine

        async def boot():
            await asyncio.sleep(boot_s)
            if name in self.machines:
                machine["worker"] = Worker(self, name, kind, zone, spot)
                await machine["worker"].start()
                machine["up"] = True
        if boot_s > 0:
            asyncio.create_task(boot())
        else:
            await boot()
        return name

    def stop_machine(self, name):
        """The machine stops with all that is on it. It is still listed as running for 30 s, then as failed."""
        self.machines[name]["worker"].stop()
        self.machines[name]["stopped_at"] = time.monotonic()
        self.record("machine_stopped", machine=name)

    def workers(self):
        return [m["worker"] for m in self.machines.values() if m["worker"] is not None]

    async def _handle(self, method, path, query, body):
        await asyncio.sleep(0.02)
        if self.is_down:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"breeds": [dict(kind, label=name) for name, kind in self.kinds.items()]}
        if path == "/hosts/release":
            for name in body["burrows"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.record("released", machine=name)
                    if machine["worker"] is not None:
                        machine["worker"].stop()
            return 200, {}
        if path == "/hosts" and method == "POST":
            return await self._hire(body)
        since = query.get("since", "")
        rows = []
        for name in sorted(self.machines):
            machine = self.machines[name]
            age = time.monotonic() - machine["at"]
            if name <= since or (age < self.settings["list_lag_s"] and self.next_name > 0 and not machine.get("first")):
                continue
            worker = machine["worker"]
            rows.append({"nameId": name, "addr": worker.addr if worker else "", "breed": machine["kind"],
                         "den": machine["zone"], "strays": machine["spot"],
                         "mood": self._mood(machine), "heldS": round(age, 1)})
        most = int(query.get("most", "500"))
        return 200, {"burrows": rows[:most], "truncated": len(rows) > most}

    @staticmethod
    def _mood(machine):
        if "stopped_at" in machine and time.monotonic() - machine["stopped_at"] > 30:
            return "failed"
        return "running" if machine["up"] else "booting"

    async def _hire(self, body):
        if body["hire"] in self.hires:
            return 200, {"burrows": self.hires[body["hire"]]}
        pool = (body["breed"], body["den"], body["strays"])
        used = sum(1 for m in self.machines.values() if (m["kind"], m["zone"], m["spot"]) == pool)
        n = min(body["count"], 50, self.capacity.get(pool, 0) - used)
        if n <= 0:
            return 503, {"error": "no capacity"}
        kind = self.kinds[body["breed"]]
        names = [await self.add_machine(body["breed"], body["den"], body["strays"], kind["startupS"]) for _ in range(n)]
        self.hires[body["hire"]] = names
        self.record("hired", names=names)
        return 200, {"burrows": names}
