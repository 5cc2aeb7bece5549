"""Small stand-ins for the review's scripts: store, endpoints, clients, and a fleet of entry daemons.

Everything listens on loopback addresses of a network of its own (127.A.B.n), derived from the
process id. Programs are started as the deploy file says, with settings filled in from its template.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "shop.example"
STARTED = time.monotonic()

try:
    import tomllib
except ImportError:
    sys.exit(2)


def now():
    return time.monotonic() - STARTED


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, discard=False):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    left = int(fields.get("content-length", "0"))
    if not discard:
        return await reader.readexactly(left)
    length = left
    while left:
        left -= len(await reader.readexactly(min(left, 1 << 16)))
    return str(length).encode()


def encode(status, fields, body):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in {**fields, "Content-Length": len(body)}.items():
        text += f"{name}: {value}\r\n"
    return text.encode("latin-1") + b"\r\n" + body


class Server:
    """An HTTP/1.1 server that handles one request at a time on a connection."""

    discard_bodies = False

    async def listen(self, host, port):
        self.address = f"{host}:{port}"
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await read_body(reader, fields, self.discard_bodies)
                answer = await self.handle(method, target, fields, body)
                if answer is None:  # never answered; the connection delivers nothing further
                    await reader.read()
                    return
                writer.write(encode(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: rows, transactions, feeds. lose(transaction) may return the seconds
    after which an unanswered transaction is performed, as PROTOCOL allows."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Condition()
        self.lose = lambda transaction: None
        self.writes = 0
        self.lost = 0

    def now(self):
        return f"{int(now() * 1000)}ms"

    def row(self, key, value, ver, deleted=False):
        made = {"TableName": key[0], "part": key[1], "Key": key[2], "Ver": ver}
        if deleted:
            made["Deleted"] = True
        else:
            made["Value"] = value
        return made

    async def put(self, table, key, value):
        """Writes as the operator or an endpoint does."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        await self.commit([((table, "", key), encoded)])

    async def remove(self, table, key):
        await self.commit([((table, "", key), None)])

    async def commit(self, writes):
        self.ver += 1
        for key, value in writes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.ver)
            self.changes.append((self.ver, key, value))
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def key(row):
        return (row["TableName"], row.get("part", ""), row["Key"])

    async def transact(self, body):
        for row in body.get("ExpectedRev", []):
            if self.rows.get(self.key(row), (None, 0))[1] != row["Ver"]:
                return 412
        writes = [(self.key(row), row["Value"]) for row in body.get("Writes", [])]
        writes += [(self.key(row), None) for row in body.get("Remove", [])]
        await self.commit(writes)
        return 200

    async def late(self, body, delay):
        await asyncio.sleep(delay)
        status = await self.transact(body)
        self.record(f"store: performs an unanswered write after {delay} s: {self.names(body)} -> {status}")

    @staticmethod
    def names(body):
        return ", ".join(
            [f"write {row['TableName']}/{row['Key']}" for row in body.get("Writes", [])]
            + [f"remove {row['TableName']}/{row['Key']}" for row in body.get("Remove", [])]
        )

    async def handle(self, method, target, fields, body):
        path, _, text = target.partition("?")
        query = {}
        for pair in text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        json_type = {"Content-Type": "application/json"}
        answer = {"Ver": self.ver, "Now": self.now()}
        if path == "/rows-tx":
            body = json.loads(body)
            self.writes += 1
            delay = self.lose(body)
            if delay is not None:
                self.lost += 1
                self.record(f"store: gives no answer to: {self.names(body)}")
                asyncio.ensure_future(self.late(body, delay))
                return None
            status = await self.transact(body)
            self.record(f"store: {self.names(body)} -> {status}")
            answer["Ver"] = self.ver
            if status == 412:
                keys = [self.key(row) for row in body["ExpectedRev"]]
                answer["Rows"] = [self.row(k, *self.rows[k]) for k in keys if k in self.rows]
            return status, json_type, json.dumps(answer).encode()
        if path == "/rows-get":
            wanted = sorted(
                key for key in self.rows
                if key[0] == query["TableName"] and key[2] >= query.get("RangeStart", "")
            )[: int(query.get("Limit") or 500)]
            answer.update(Rows=[self.row(k, *self.rows[k]) for k in wanted], HasMore=False)
            return 200, json_type, json.dumps(answer).encode()
        if path == "/rows-feed":
            after = int(query["after"])
            end = time.monotonic() + int(query.get("WaitMs") or 0) / 1000

            def news():
                return [self.row(k, v, ver, v is None) for ver, k, v in self.changes
                        if ver > after and k[0] == query["TableName"]]

            while not news() and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
            answer.update(Rows=news(), Ver=self.ver)
            return 200, json_type, json.dumps(answer).encode()
        return 404, json_type, b"{}"


class Endpoint(Server):
    """A sound endpoint: answers after `work` seconds, with id, signature and load."""

    discard_bodies = True

    def __init__(self, record, name, service, zone, work=0.1):
        self.record = record
        self.name, self.service, self.zone, self.work = name, service, zone, work
        self.ran = []
        self.arrivals = []
        self.running = 0
        self.seq = 0
        self.cold_until = 0.0

    def restart(self, cold_s):
        """Starts again under its id: it is cold and slow for a while, and knows nothing of before."""
        self.cold_until = time.monotonic() + cold_s
        self.seq = 0

    def cold_ms(self):
        return max(0, int(1000 * (self.cold_until - time.monotonic())))

    def entry(self):
        self.seq += 1
        return {"Address": self.address,
                "Info": {"Service": self.service, "Version": "v1", "Zone": self.zone, "Slots": 6},
                "Status": {"State": "ready", "Seq": self.seq, "WarmupLeft": f"{self.cold_ms()}ms"}}

    async def handle(self, method, target, fields, body):
        load = {"Trefoilbend-Server-Load": f"{self.running},0,6,100"}
        if target == "/health":
            return 200, {**load, "Trefoilbend-Instance-Id": self.name, "Trefoilbend-Warmup-Ms": self.cold_ms()}, b""
        request = fields.get("trefoilbend-request-id", "")
        echo = {"Trefoilbend-Request-Id": request}
        expected = fields.get("trefoilbend-expect-instance")
        if expected not in (None, self.name):
            return 421, {**echo, "Trefoilbend-Instance-Id": self.name}, b""
        self.ran.append(request)
        self.arrivals.append(time.monotonic())
        self.record(f"endpoint {self.name}: runs {request} {method} {target}")
        self.running += 1
        try:
            await asyncio.sleep(self.work * (2 if self.cold_ms() else 1))
        finally:
            self.running -= 1
        return 200, {**echo, **load, "Trefoilbend-Server-Signature": "s." + request}, self.content(request)

    @staticmethod
    def content(request):
        return b"answer to " + request.encode()


def fill(template, values):
    """Fills the platform's fields into a template, as DEPLOY says."""

    def find(name, scope):
        if name == ".":
            return scope
        found = scope
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found if found is not None else (None if scope is values else find(name, values))

    def section(match):
        value = find(match[1], values)
        if value is None or value is False:
            return ""
        entries = value if isinstance(value, list) else [values]
        return "".join(plain(match[2], entry) for entry in entries)

    def plain(text, scope):
        def one(match):
            value = find(match[1], scope)
            if isinstance(value, list):
                return ",".join(map(str, value))
            return "" if value is None else str(value)
        return re.sub(r"\{\{([\w.]+)\}\}", one, text)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return plain(text, values)


class Fleet:
    """Store, endpoints and entry daemons in a folder of their own."""

    def __init__(self, folder, zones, entries, memory_mb=260):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        pid = os.getpid()
        self.net = f"127.{64 + pid // 250 % 150}.{1 + pid % 250}"
        self.store = Store(self.record)
        self.endpoints = {}
        self.zones = zones
        self.memory_mb = memory_mb
        self.entries = {}
        for at in range(entries):
            self.entries[f"edge-{zones[at % len(zones)]}-{at + 1}"] = f"{self.net}.{10 + at}"
        self.processes = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.last = 0

    def front(self, entry):
        return self.entries[entry], 8144

    def settings(self, entry):
        ip = self.entries[entry]
        return {
            "Node": entry, "Role": "entry", "MachineClass": "edge", "Ip": ip,
            "Zone": self.zones[(int(entry.rsplit("-", 1)[1]) - 1) % len(self.zones)], "Region": "area",
            "PortRange": [7660, 7675], "Seeds": [f"{one}:8146" for one in list(self.entries.values())[:3]],
            "Listen": {"Front": f"{ip}:8144", "Ready": f"{ip}:8140", "Control": f"{ip}:8146",
                       "Directory": f"{ip}:8143"},
            "Limits": {"CpuShare": 0.2, "Cores": 1, "MemoryMb": self.memory_mb, "MaxFds": 4100},
            "Bounds": {"RetryBudgetExtra": 58, "BudgetWindow": "10s"},
            "Provider": {"Address": self.store.address},
        }

    def start(self, entry):
        with open(os.path.join(ROOT, self.role["template"])) as file:
            text = fill(file.read(), self.settings(entry))
        path = os.path.join(self.folder, entry + ".ini")
        with open(path, "w") as file:
            file.write(text)
        words = self.role["run"].replace("/etc/trefoilbend/local.toml", path).split(" ")
        log = open(os.path.join(self.folder, entry + ".log"), "a")
        self.processes[entry] = subprocess.Popen(
            words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.folder, "TREFOILBEND_NODE_FILE": path})
        self.record(f"platform: starts {entry}")

    def signal(self, entry, number):
        self.record(f"platform: {signal.Signals(number).name} to {entry}")
        self.processes[entry].send_signal(number)

    async def ended(self, entry, within):
        """Waits until a process has ended; returns its code, or None."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            code = self.processes[entry].poll()
            if code is not None:
                self.record(f"platform: {entry} has ended with code {code}")
                return code
            await asyncio.sleep(0.02)
        return None

    async def begin(self, services, endpoints, work, routes, limits=None):
        """Starts the store and the endpoints, and writes the first desired state."""
        await self.store.listen(f"{self.net}.2", 8142)
        at = 0
        for service in services:
            for _ in range(endpoints):
                at += 1
                made = Endpoint(self.record, f"i-{at:08x}", service, self.zones[at % len(self.zones)], work)
                await made.listen(f"{self.net}.{100 + at}", 8080)
                self.endpoints[made.name] = made
                await self.store.put("servers", made.name, made.entry())
        limits = limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                            "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}
        await self.store.put("op", "config", {
            "Version": "00000007",
            "Routes": {"Columns": ["Name", "Hostname", "Prefix", "RouteType", "Timeout", "TargetLatency",
                                   "Priority", "Service", "Attempts", "TrafficSplit"], "Rows": routes},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConns", "Protocol", "Tls", "Warmup",
                                     "WarmupPerS"],
                         "Rows": [[one, "/health", 220, "h1", False, "3s", 25.0] for one in services]},
            "Limits": limits})
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            for one in self.endpoints.values():
                await self.store.put("servers", one.name, one.entry())

    async def ready(self, entry, within=15.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            answer = await call((self.entries[entry], 8140), "GET", "/ready", timeout=1)
            if answer and answer[0] == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def resolve(self, entry, zone):
        """A client's question; returns the addresses, or None where it failed."""
        answer = await call((self.entries[entry], 8143), "GET",
                            f"/resolve?Name={HOST}&Region=area&Zone={zone}", timeout=1)
        if not answer or answer[0] != 200:
            return None
        return json.loads(answer[2]).get("Addresses") or None

    def id(self):
        self.last += 1
        return f"{os.getpid():08x}{self.last:08x}"

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request(method, path, request_id=None, deadline_ms=None, body=b"", host=HOST):
    text = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    if request_id:
        text += f"Trefoilbend-Request-Id: {request_id}\r\n"
    if deadline_ms:
        text += f"Trefoilbend-Deadline-Ms: {deadline_ms}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


async def read_answer(reader):
    line, fields = await read_head(reader)
    body = await read_body(reader, fields)
    return int(line.split(" ")[1]), fields, body


async def call(address, method, path, timeout, **more):
    """One request on a new connection; None where there is no complete answer."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(request(method, path, **more))
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


def run(case, folder):
    """Runs a case; it returns 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not os.path.exists(os.path.join(ROOT, "target/apps/trefoilbend/trefoilbend")):
        print("the deploy file's build has not run")
        sys.exit(2)
    fleets = []

    async def bounded():
        return await asyncio.wait_for(case(trouble, make), 110)

    def make(*arguments, **options):
        fleets.append(Fleet(folder, *arguments, **options))
        return fleets[-1]

    code = 2
    try:
        code = asyncio.get_event_loop_policy().new_event_loop().run_until_complete(bounded())
    except Exception as error:  # noqa: BLE001 - any failure of the stand-ins means that it did not run
        print(f"the case could not run: {error!r}")
    except SystemExit:
        pass
    finally:
        for fleet in fleets:
            fleet.end()
    sys.stdout.flush()
    os._exit(code)  # without the event loop's words about tasks that still wait
