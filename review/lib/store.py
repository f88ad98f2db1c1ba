"""A stand-in for the state service, after the section "Controller nodes -> state service" of the
protocol page. Each controller gets a port of its own, so that the store can refuse one of them."""
import asyncio
import json
import time

from web import Server

HISTORY = 10000
PAGE_BYTES = 512 * 1024


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < n:
            return False
        self.tokens -= n
        return True


class Store:
    def __init__(self, settings, latency_s=0.003):
        self.settings = settings
        self.latency_s = latency_s
        self.keys = {}      # path -> [value, mark, claim]
        self.epoch = 1
        self.events = []    # (mark, event)
        self.dropped = 0    # newest mark that is no longer in `events`
        self.grants = {}    # claim -> [ttl_s, expires_at, paths]
        self.next_claim = 1
        self.requests = Bucket(settings["rps"])
        self.writes = Bucket(settings["write_rps"])
        self.changed = asyncio.Event()
        self.refused = set()  # indexes of refused controllers
        self.is_out = False
        self.n_429 = 0
        self.counts = {}
        self.hook = None      # async (index, method, path, body, execute) -> answer or None
        self.servers = []
        self.task = asyncio.create_task(self._expire())

    async def start(self, n):
        for index in range(n):
            async def handler(method, path, query, body, index=index):
                return await self._handle(index, method, path, query, body)
            self.servers.append(await Server(handler).start())
        return [s.port for s in self.servers]

    def close(self):
        self.task.cancel()
        for server in self.servers:
            server.close()

    def set_out(self, is_out):
        if self.is_out and not is_out:
            for grant in self.grants.values():
                grant[1] = time.monotonic() + grant[0]
        self.is_out = is_out
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.is_out:
                continue
            now = time.monotonic()
            for claim in [c for c, g in self.grants.items() if g[1] < now - 0.03]:
                self._end_grant(claim)

    def _end_grant(self, claim):
        paths = self.grants.pop(claim)[2]
        if paths:
            self._apply([{"remove": p} for p in sorted(paths)])

    def _apply(self, operations):
        self.epoch += 1
        for op in operations:
            if "put" in op:
                path = op["put"]
                self._detach(path)
                claim = op.get("claim")
                self.keys[path] = [op.get("value"), self.epoch, claim]
                if claim:
                    self.grants[claim][2].add(path)
                self.events.append((self.epoch, {"put": path, "value": op.get("value"), "mark": self.epoch}))
            elif op["remove"] in self.keys:
                self._detach(op["remove"])
                del self.keys[op["remove"]]
                self.events.append((self.epoch, {"remove": op["remove"], "mark": self.epoch}))
        if len(self.events) > HISTORY:
            self.dropped = self.events[-HISTORY - 1][0]
            self.events = self.events[-HISTORY:]
        self.changed.set()
        self.changed = asyncio.Event()

    def _detach(self, path):
        claim = self.keys.get(path, [0, 0, None])[2]
        if claim in self.grants:
            self.grants[claim][2].discard(path)

    def _unavailable(self, index):
        return self.is_out or index in self.refused

    async def _handle(self, index, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        name = method + " " + path.split("/")[1]
        self.counts[name] = self.counts.get(name, 0) + 1
        if self._unavailable(index):
            return 503, {"error": "unavailable"}
        if not self.requests.take(1):
            self.n_429 += 1
            return 429, {"error": "rate"}
        if path == "/watch":
            return await self._watch(index, query)

        def execute():
            return self._execute(method, path, query, body)
        if self.hook is not None:
            return await self.hook(index, method, path, body, execute)
        return execute()

    def _execute(self, method, path, query, body):
        if path == "/txn":
            return self._transaction(body)
        if path.startswith("/grants"):
            return self._grant(method, path, body)
        if path == "/keys":
            return self._list(query)
        key = path[len("/keys/"):]
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"epoch": self.epoch}
        answer = {"path": key, "value": entry[0], "mark": entry[1]}
        if entry[2]:
            answer["claim"] = entry[2]
        return 200, answer

    def _list(self, query):
        prefix, since, most = query.get("starts", ""), query.get("since"), int(query.get("most", "1000"))
        rows, size = [], 0
        matching = sorted(k for k in self.keys if k.startswith(prefix) and (since is None or k > since))
        for key in matching:
            row = {"path": key, "value": self.keys[key][0], "mark": self.keys[key][1]}
            size += len(json.dumps(row)) + 1
            if len(rows) >= min(most, 1000) or size > PAGE_BYTES - 1024:
                return 200, {"rows": rows, "truncated": True, "epoch": self.epoch}
            rows.append(row)
        return 200, {"rows": rows, "truncated": False, "epoch": self.epoch}

    def _transaction(self, body):
        guards, operations = body.get("guards", []), body.get("apply", [])
        limit = self.settings["txn_ops"]
        if (len(operations) > limit or len(guards) > 4 * limit or len(json.dumps(body)) > 64 * 1024
                or any(len(json.dumps(o.get("value"), separators=(",", ":"))) > self.settings["value_kb"] * 1024
                       for o in operations if "put" in o)):
            return 400, {"error": "too large"}
        if not self.writes.take(len(operations)):
            self.n_429 += 1
            return 429, {"error": "rate"}
        if any("claim" in o and o["claim"] not in self.grants for o in operations):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if self.keys.get(g["path"], [0, 0])[1] != g["mark"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if operations:
            self._apply(operations)
        return 200, {"epoch": self.epoch}

    def _grant(self, method, path, body):
        if path == "/grants":
            claim = self.next_claim
            self.next_claim += 1
            ttl = body["ttlMs"] / 1000
            self.grants[claim] = [ttl, time.monotonic() + ttl, set()]
            return 200, {"claim": claim}
        claim = int(path.split("/")[2])
        if claim not in self.grants:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_grant(claim)
        else:
            self.grants[claim][1] = time.monotonic() + self.grants[claim][0]
        return 200, {"claim": claim}

    async def _watch(self, index, query):
        prefix, since = query.get("starts", ""), int(query["since"])
        deadline = time.monotonic() + min(int(query.get("waitMs", "0")), 60000) / 1000
        while True:
            changed = self.changed
            if not self._unavailable(index):
                if since < self.dropped:
                    return 410, {"error": "too old"}
                found = []
                for mark, event in reversed(self.events):
                    if mark <= since:
                        break
                    if event.get("put", event.get("remove", "")).startswith(prefix):
                        found.append(event)
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {"epoch": self.epoch, "events": found[::-1]}
            else:
                left = 0.2  # an open watch waits until the store serves the controller again
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.005))
            except asyncio.TimeoutError:
                pass
