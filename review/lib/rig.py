"""Three controllers as processes on loopback, and the stand-ins around them."""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

sys.dont_write_bytecode = True

from fleet import Fleet
from store import Store
from web import Client

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ["kanombe-hall", "gikondo-depot", "remera-office"]


def free_ports(n):
    """Ports below the range of ephemeral ports, that are free now."""
    found, sockets = [], []
    start = 20000 + os.getpid() * 16 % 11000
    for port in range(start, 32000):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind(("127.0.0.1", port))
        except OSError:
            s.close()
            continue
        sockets.append(s)
        found.append(port)
        if len(found) == n:
            break
    for s in sockets:
        s.close()
    return found


def anonymous_mb(pid):
    """The memory that the process itself has filled, in MB of 2^20 bytes: without the pages of its program
    and libraries, so less than the platform counts."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class Rig:
    def __init__(self, folder, n=3, state=None, workers=None, teams=None, resources=None, cloud=None,
                 objectives="", zones=None, quiet=()):
        self.folder = folder
        self.n = n
        self.labels = [f"burrow-{i}" for i in range(n)]
        self.zones = zones or ZONES
        self.state = {"rps": 100.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 12, **(state or {})}
        self.workers = {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 37.0,
                        **(workers or {})}
        self.cloud = {"rps": 6.0, "list_lag_s": 5.0, **(cloud or {})}
        self.resources = {"cpu": 0.064, "ram_mb": 72.0, "max_sockets": 1200, **(resources or {})}
        self.teams = teams or [{"name": "counter-ops", "cpus": 0.0, "gpus": 8.0, "cpus_max": 0.0, "gpus_max": 24.0},
                               {"name": "buying-desk", "cpus": 0.0, "gpus": 2.0, "cpus_max": 0.0, "gpus_max": 16.0},
                               {"name": "insight-lab", "cpus": 0.0, "gpus": 8.0, "cpus_max": 0.0, "gpus_max": 24.0},
                               {"name": "legacy-move", "cpus": 0.0, "gpus": 8.0, "cpus_max": 0.0, "gpus_max": 24.0}]
        self.objectives = objectives
        self.quiet = set(quiet)
        self.began = time.monotonic()
        self.log = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.temp = tempfile.mkdtemp(prefix="martenmount-review-")
        self.processes = [None] * n
        self.n_starts = [0] * n
        self.unexpected = []
        self.is_closed = False
        self.listeners = []
        self.store = self.fleet = None
        self.kills_for_memory = False  # as the platform does; see anonymous_mb
        self.peak_mb = [0.0] * n
        self.memory_ends = []          # (time, controller, MB)
        self.back_s = 3.0              # after which the platform starts an ended process again
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            self.run = shlex.split(tomllib.load(f)["run"])

    def now(self):
        return time.monotonic() - self.began

    def record(self, event, **fields):
        entry = {"t": round(self.now(), 3), "event": event, **fields}
        if event not in self.quiet and not self.log.closed:
            self.log.write(json.dumps(entry) + "\n")
        for listener in self.listeners:
            listener(entry)

    async def start(self, kinds, machines, capacity=None, others=None, stores=None):
        """`machines`: list of (kind, zone, spot). `others(i, j, port)` and `stores(i, port)` may put a
        proxy before the address that controller i uses for controller j or for the store."""
        self.store = Store(self.state)
        store_ports = await self.store.start(self.n)
        ports = free_ports(2 * self.n)
        self.fronts, self.links = ports[:self.n], ports[self.n:]
        self.fleet = Fleet({**self.workers, **self.cloud}, kinds, self.record, self.fronts, self.labels, capacity)
        cloud_port = await self.fleet.start()
        for i in range(self.n):
            text = (f'label = "{self.labels[i]}"\nzone = "{self.zones[i % len(self.zones)]}"\n'
                    f'front = "127.0.0.1:{self.fronts[i]}"\ncluster_listen = "127.0.0.1:{self.links[i]}"\n')
            for j in range(self.n):
                if j != i:
                    port = await others(i, j, self.links[j]) if others else self.links[j]
                    text += (f'[[others]]\nlabel = "{self.labels[j]}"\nzone = "{self.zones[j % len(self.zones)]}"\n'
                             f'endpoint = "127.0.0.1:{port}"\n')
            store_port = await stores(i, store_ports[i]) if stores else store_ports[i]
            text += (f'[external]\ncloud = "127.0.0.1:{cloud_port}"\nstate = "127.0.0.1:{store_port}"\n'
                     f'[settings]\ncount = {self.n}\nzones = {json.dumps(self.zones)}\nskew_ms = 250.0\n')
            for team in self.teams:
                text += "[[settings.teams]]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in team.items())
            text += self.objectives
            for name in ("workers", "state", "cloud", "resources"):
                text += f"[settings.{name}]\n" + "".join(f"{k} = {v}\n" for k, v in getattr(self, name).items())
            with open(self.settings_path(i), "w", encoding="utf-8") as f:
                f.write(text)
        for i in range(self.n):
            self.start_node(i)
        for kind, zone, spot in machines:
            name = await self.fleet.add_machine(kind, zone, spot)
            self.fleet.machines[name]["first"] = True
        self.watcher = asyncio.create_task(self._watch_processes())

    def settings_path(self, i):
        return os.path.join(self.temp, f"{self.labels[i]}.toml")

    def start_node(self, i):
        if self.is_closed:
            return
        self.n_starts[i] += 1
        log = open(os.path.join(self.temp, f"{self.labels[i]}.log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("NODE_LOG", "info"))
        self.processes[i] = subprocess.Popen(self.run + [self.settings_path(i)], cwd=ROOT, stdin=subprocess.DEVNULL,
                                             stdout=log, stderr=log, env=env)
        log.close()
        self.record("node_started", node=i)

    def kill_node(self, i):
        process = self.processes[i]
        self.processes[i] = None
        if process is not None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.record("node_killed", node=i)

    async def restart_node(self, i, down_s=3.0):
        self.kill_node(i)
        await asyncio.sleep(down_s)
        self.start_node(i)

    def pause_node(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.record("node_paused", node=i)

    def resume_node(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.record("node_resumed", node=i)

    async def _watch_processes(self):
        """The platform: a process over its limit of memory is killed; one that has ended is started again."""
        while True:
            await asyncio.sleep(0.1)
            for i, process in enumerate(self.processes):
                used = anonymous_mb(process.pid) if process is not None else 0.0
                self.peak_mb[i] = max(self.peak_mb[i], used)
                if self.kills_for_memory and used > self.resources["ram_mb"]:
                    self.record("node_over_memory", node=i, anonymous_mb=round(used, 1))
                    self.memory_ends.append((self.now(), i, used))
                    self.kill_node(i)
                    asyncio.get_running_loop().call_later(self.back_s, self.start_node, i)
                    continue
                if process is not None and process.poll() is not None:
                    self.record("node_ended", node=i, status=process.returncode)
                    self.unexpected.append((i, process.returncode))
                    self.processes[i] = None
                    asyncio.get_running_loop().call_later(self.back_s, self.start_node, i)

    async def healthy(self, timeout=30.0, want=None):
        """Waits until all controllers are healthy."""
        deadline = time.monotonic() + timeout
        want = list(range(self.n)) if want is None else want
        while time.monotonic() < deadline:
            answers = [(await Client(self.fronts[i]).request("GET", "/healthz", None, 1.0))[0] for i in want]
            if all(a == 200 for a in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def close(self):
        self.is_closed = True
        if hasattr(self, "watcher"):
            self.watcher.cancel()
        for i in range(self.n):
            self.kill_node(i)
        if self.fleet:
            self.fleet.close()
        if self.store:
            self.store.close()
        self.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # users

    def job(self, number, run_s, gait="array", kits=1, **fields):
        spec = {"nameId": f"run-{number:06d}", "guild": "stock-recon", "flock": "insight-lab", "gait": gait,
                "rank": "normal", "kits": kits, "cores": 1.0, "accelerators": 0.0, "memGb": 1.0, "pelt": "img-1",
                "sizeGb": 0.05, "breeds": None, "den": None, "together": False, "spread": False, "strays": True,
                "runGuessS": run_s if not callable(run_s) else 5.0, "cacheEveryS": 0.0, "cacheTakeS": 0.0,
                "dueS": None, **fields}
        if gait == "service":
            spec["runGuessS"] = 0.0
        self.fleet.jobs[spec["nameId"]] = spec
        self.fleet.run_times[spec["nameId"]] = run_s
        return spec

    async def call(self, node, method, path, body=None, timeout=5.0, client=None):
        client = client or Client(self.fronts[node])
        status, answer, headers = await client.request(method, path, body, timeout)
        client.close()
        return status, answer, headers

    async def submit(self, spec, node=None, total_s=60.0):
        """Submits as a user does: until it is answered, for 60 s. Returns the status."""
        deadline = time.monotonic() + total_s
        while time.monotonic() < deadline:
            at = random.randrange(self.n) if node is None else node
            status, answer, headers = await self.call(at, "POST", "/api/jobs", spec)
            if status in (200, 201, 400, 422):
                self.record("submitted", job=spec["nameId"], node=at, status=status,
                            mood=(answer or {}).get("mood"))
                return status
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 0) or 0)))
        self.record("submit_failed", job=spec["nameId"], status=status)
        return 0

    async def poll(self, job_id, node=None, timeout=2.0):
        at = random.randrange(self.n) if node is None else node
        status, answer, _ = await self.call(at, "GET", f"/api/jobs/{job_id}", None, timeout)
        self.record("polled", job=job_id, node=at, status=status, mood=(answer or {}).get("mood"),
                    done=(answer or {}).get("done"))
        return status, answer

    async def withdraw(self, job_id, node=None, total_s=60.0):
        deadline = time.monotonic() + total_s
        while time.monotonic() < deadline:
            at = random.randrange(self.n) if node is None else node
            status, answer, headers = await self.call(at, "POST", f"/api/jobs/{job_id}/withdraw")
            self.record("withdrawn", job=job_id, node=at, status=status, mood=(answer or {}).get("mood"))
            if status == 200:
                return answer["mood"]
            await asyncio.sleep(max(1.0, float(headers.get("retry-after", 0) or 0)))
        return None


def main(case, folder):
    """Runs the coroutine `case(folder, trouble)`, which returns the exit status."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "1")))  # of the workers' jitter; the controllers have no seed
    limit = 118.0

    async def bounded():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(folder, trouble), limit)
    try:
        status = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # the case couldn't run
        print(f"case could not run: {type(error).__name__}: {error}")
        status = 2
    sys.exit(status)
