"""Small deployment of trefoilbend for the review's scripts: entries as separate
processes, and stand-ins of the users' store and servers in this process.

All addresses are loopback addresses. Every process that is started here is
ended by its id in Deployment.close().
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "shop.example"
FRONT, READY, CONTROL, DIRECTORY, STORE, SERVER = 8144, 8140, 8146, 8143, 8142, 8660
PORT_RANGE = [7660, 7675]
REASONS = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not run; the script ends with 2."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


def free_network():
    """Returns the first three numbers of a loopback network that nobody uses."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (STORE, FRONT, SERVER):
                with socket.socket() as probe:
                    probe.bind((f"{net}.2", port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def lookup(scopes, name):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def fill(template, scopes):
    """Fills a template in as the users' DEPLOY page tells."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)

    def expand(found):
        value = lookup(scopes, found[1])
        if isinstance(value, list):
            return "".join(fill(found[2], scopes + [{".": item}]) for item in value)
        return fill(found[2], scopes) if value else ""

    def place(found):
        name = found[1]
        if name == ".":
            return str(scopes[-1]["."])
        value = lookup(scopes, name)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", place, section.sub(expand, template))


class Http:
    """One HTTP/1.1 message read from a stream."""

    def __init__(self, first, fields, body):
        self.first, self.fields, self.body = first, fields, body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, *, response=False, head_only=False):
    """Reads a message; None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ended:
        if not ended.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    fields = [tuple(part.strip() for part in line.split(":", 1))
              for line in lines[1:] if ":" in line]
    message = Http(lines[0], fields, b"")
    if head_only:
        return message
    if "chunked" in message.get("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            message.body += chunk[:-2]
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(int(message.get("Content-Length")))
    elif response and message.first.split()[1] not in ("204", "304"):
        message.body = await reader.read()
    return message


def response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """Stand-in of the platform's store: tables of rows, one counter of versions,
    transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.deleted = {}
        self.version = 100
        self.changed = asyncio.Condition()
        self.hook = None  # async (verb, path, body) -> None, or bytes to answer
        self.server = None

    async def open(self, address):
        self.server = await asyncio.start_server(self.serve, address, STORE)

    async def put(self, table, key, value):
        async with self.changed:
            self.version += 1
            self.apply(table, "", key, json.dumps(value).encode() if value is not None else None)
            self.changed.notify_all()

    def apply(self, table, part, key, value):
        place = (table, part, key)
        if value is None:
            if self.rows.pop(place, None) is not None:
                self.deleted[place] = self.version
        else:
            self.rows[place] = (value, self.version)
            self.deleted.pop(place, None)

    def value(self, table, key):
        found = self.rows.get((table, "", key))
        return json.loads(found[0]) if found else None

    @staticmethod
    def row(place, value, version):
        return {"TableName": place[0], "part": place[1], "Key": place[2],
                "Value": base64.b64encode(value).decode(), "Ver": version}

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                verb, target, _ = message.first.split(" ")
                answer = await self.hook(verb, target, message.body) if self.hook else None
                if answer is None:
                    status, body = await self.answer(verb, target, message.body)
                    answer = response(status, [("Content-Type", "application/json")],
                                      json.dumps(body).encode())
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, verb, target, body):
        from urllib.parse import parse_qs, urlsplit
        path = urlsplit(target).path
        query = {k: v[0] for k, v in
                 parse_qs(urlsplit(target).query, keep_blank_values=True).items()}
        await asyncio.sleep(0.003)
        now = {"Now": int(time.monotonic() * 1000)}
        if path == "/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/rows-get":
            low, high = query.get("RangeStart", ""), query.get("To")
            places = sorted(p for p in self.rows
                            if p[0] == query["TableName"] and p[1] == query.get("part", "")
                            and p[2] >= low and (high is None or p[2] < high))
            limit = min(int(query.get("Limit", 500)), 500)
            rows = [self.row(p, *self.rows[p]) for p in places[:limit]]
            return 200, {"Rows": rows, "HasMore": len(places) > limit, "Ver": self.version, **now}
        if path == "/rows-feed":
            after, wait = int(query["after"]), int(query.get("WaitMs", 0)) / 1000
            try:
                async with asyncio.timeout(wait):
                    async with self.changed:
                        await self.changed.wait_for(
                            lambda: self.changes(query["TableName"], after))
            except TimeoutError:
                pass
            return 200, {"Rows": self.changes(query["TableName"], after),
                         "Ver": self.version, **now}
        return 404, {"Error": "no such call"}

    def changes(self, table, after):
        rows = [self.row(p, v, ver) for p, (v, ver) in self.rows.items()
                if p[0] == table and ver > after]
        rows += [{"TableName": p[0], "part": p[1], "Key": p[2], "Deleted": True, "Ver": ver}
                 for p, ver in self.deleted.items() if p[0] == table and ver > after]
        return sorted(rows, key=lambda row: row["Ver"])

    async def transact(self, order):
        def place(row):
            return (row["TableName"], row.get("part", ""), row["Key"])
        for wanted in order.get("ExpectedRev", []):
            if self.rows.get(place(wanted), (None, 0))[1] != wanted["Ver"]:
                current = [self.row(place(one), *self.rows[place(one)])
                           for one in order["ExpectedRev"] if place(one) in self.rows]
                return 412, {"Rows": current, "Ver": self.version}
        changed = order.get("Writes", []) + order.get("Remove", [])
        if any(row["TableName"] in ("op", "servers") for row in changed):
            return 403, {"Error": "not for the system"}
        async with self.changed:
            self.version += 1
            for row in order.get("Writes", []):
                self.apply(*place(row), base64.b64decode(row["Value"]))
            for row in order.get("Remove", []):
                self.apply(*place(row), None)
            self.changed.notify_all()
        return 200, {"Ver": self.version, "Now": int(time.monotonic() * 1000)}


class Server:
    """Stand-in of a server (endpoint). By default it is sound: it runs what is
    meant for it, once a request, and signs its answer."""

    def __init__(self, record, name, service="stock", zone="z-a", version="v1", slots=6):
        self.record, self.name, self.service = record, name, service
        self.zone, self.version, self.slots = zone, version, slots
        self.runs = []  # (id, first line, fields, body)
        self.all_runs = self.runs  # replaced by the deployment's common list
        self.work_s = 0.02
        self.notes_ends = True
        self.tells_load = True  # the endpoints of some services tell their load
        self.body = b"sound answer of " + name.encode()
        self.act = None  # async (server, message, reader, writer) -> bool: handled
        self.address = None
        self.running = 0
        self.listening = None
        self.born = int(time.time() * 1000)

    async def open(self, address):
        self.address = address
        self.listening = await asyncio.start_server(self.serve, address, SERVER)

    def entry(self, state="ready", seq=1, cold="0ms"):
        return {"Address": f"{self.address}:{SERVER}", "born": self.born,
                "Info": {"Service": self.service, "Version": self.version,
                         "Zone": self.zone, "Slots": self.slots},
                "Status": {"State": state, "Seq": seq, "WarmupLeft": cold}}

    def load(self):
        if not self.tells_load:
            return []
        return [("Trefoilbend-Server-Load", f"{self.running},0,{self.slots},100")]

    def signature(self, request_id):
        return f"{self.name}.{request_id}"

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if message.first.startswith("GET /health "):
                    writer.write(response(200, [("Trefoilbend-Instance-Id", self.name), *self.load()]))
                elif message.get("Trefoilbend-Expect-Instance", self.name) != self.name:
                    writer.write(response(421, [("Trefoilbend-Request-Id",
                                                 message.get("Trefoilbend-Request-Id"))]))
                elif self.act is None or not await self.act(self, message, reader, writer):
                    writer.write(await self.run(message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError) as ended:
            if self.notes_ends:
                self.record.note(f"server {self.name}: connection ended: {type(ended).__name__}")
        finally:
            writer.close()

    def note_run(self, message):
        request_id = message.get("Trefoilbend-Request-Id")
        run = (request_id, message.first, message.fields, message.body)
        self.runs.append(run)
        if self.all_runs is not self.runs:
            self.all_runs.append(run)
        self.record.note(f"server {self.name} runs {request_id!r}: {message.first!r} "
                         f"body {len(message.body)} bytes")
        return request_id

    async def run(self, message):
        request_id = self.note_run(message)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        head = [("Trefoilbend-Request-Id", request_id),
                ("Trefoilbend-Server-Signature", self.signature(request_id)), *self.load()]
        return response(200, head, self.body)


class Entry:
    """One entry daemon as a process of its own."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.process = None
        self.ended = []

    def settings(self):
        fleet = self.deployment
        return {"Node": self.name, "Zone": self.zone, "Ip": self.ip, "PortRange": PORT_RANGE,
                "Seeds": [f"{ip}:{CONTROL}" for ip in fleet.entry_ips[:3]],
                "Listen": {"Front": f"{self.ip}:{FRONT}", "Ready": f"{self.ip}:{READY}",
                           "Control": f"{self.ip}:{CONTROL}",
                           "Directory": f"{self.ip}:{DIRECTORY}"},
                "Limits": {"CpuShare": 0.2, "MemoryMb": 260},
                "Bounds": {"Grace": "6s", "RetryBudgetExtra": 58, "BudgetWindow": "10s"},
                "Provider": {"Address": fleet.store_of(self)}}

    async def start(self):
        with open(os.path.join(ROOT, self.deployment.role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), [self.settings()])
        path = os.path.join(self.deployment.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = self.deployment.role["run"].split()
        command = [path if part == "/etc/trefoilbend/local.toml" else part for part in command]
        command[0] = os.path.join(ROOT, command[0])
        if not os.access(command[0], os.X_OK):
            raise CannotRun(f"{self.deployment.role['run'].split()[0]} is not built")
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        fds = self.deployment.entry_fds
        bound = (lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (fds, fds))) if fds else None
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=log,
                                                            stderr=log, preexec_fn=bound)
        log.close()
        self.deployment.record.note(f"entry {self.name}: started, pid {self.process.pid}")
        self.watch = asyncio.create_task(self.wait(self.process))

    async def wait(self, process):
        code = await process.wait()
        self.ended.append(code)
        self.deployment.record.note(f"entry {self.name}: pid {process.pid} ended with {code}")

    def signal(self, which):
        self.deployment.record.note(f"entry {self.name}: gets {which.name}")
        self.process.send_signal(which)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader, response=True), 1)
            writer.close()
            return answer is not None and " 200 " in answer.first
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def log(self):
        with open(os.path.join(self.deployment.folder, f"{self.name}.log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()


class Deployment:
    """Store, servers and entries of one case."""

    def __init__(self, record):
        self.record = record
        self.net = free_network()
        self.folder = tempfile.mkdtemp(prefix="trefoilbend-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        self.store = Store()
        self.store_address = f"{self.net}.2"
        self.servers, self.entries, self.entry_ips = [], [], []
        self.runs = []  # of all servers, in order
        self.stores = {}
        self.entry_fds = None  # Limits.MaxFds, where a case comes near it
        self.version = 0x10
        self.random = random.Random(1)

    def store_of(self, entry):
        return self.stores.get(entry.name, f"{self.store_address}:{STORE}")

    async def begin(self, *, servers=4, entries=1, routes=None, services=("stock",), limits=None):
        try:
            await self.store.open(self.store_address)
        except OSError as problem:
            raise CannotRun(str(problem)) from problem
        await self.desire(routes or [("r-read", "/read/", "idempotent", "2000ms", 2),
                                     ("r-book", "/book/", "non_idempotent", "2000ms", 2)],
                          services, limits)
        for number in range(servers):
            await self.add_server(f"s-{number + 1}", service=services[number % len(services)])
        self.entry_ips = [f"{self.net}.{100 + n}" for n in range(entries)]
        for number, ip in enumerate(self.entry_ips):
            self.entries.append(Entry(self, f"edge-{number + 1}", f"z-{'ab'[number % 2]}", ip))
        for entry in self.entries:
            await entry.start()
        await self.until_ready()

    async def until_ready(self, limit=15):
        until = time.monotonic() + limit
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} is not ready in time")
                await asyncio.sleep(0.1)

    async def add_server(self, name, **options):
        server = Server(self.record, name, **options)
        server.all_runs = self.runs
        await server.open(f"{self.net}.{10 + len(self.servers)}")
        self.servers.append(server)
        await self.store.put("servers", name, server.entry())
        return server

    async def desire(self, routes, services=("stock",), limits=None):
        """Routes are (name, prefix, kind, timeout, attempts[, service])."""
        self.version += 2
        columns = ["Name", "Hostname", "Prefix", "RouteType", "Timeout", "TargetLatency",
                   "Priority", "Service", "Attempts", "TrafficSplit"]
        rows = [[r[0], HOST, r[1], r[2], r[3], "200ms", 1, r[5] if len(r) > 5 else services[0],
                 r[4], None] for r in routes]
        await self.store.put("op", "config", {
            "Version": f"{self.version:08x}",
            "Routes": {"Columns": columns, "Rows": rows},
            "Services": {"Columns": ["Name", "HealthPath", "MaxConns", "Warmup", "WarmupPerS"],
                         "Rows": [[name, "/health", 220, "3s", 25.0] for name in services]},
            "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1000000,
                                 "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    def head(self, method, path, request_id, left=2000, fields=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
                 f"Trefoilbend-Request-Id: {request_id}", f"Trefoilbend-Deadline-Ms: {left}"]
        lines += [f"{name}: {value}" for name, value in fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def call(self, entry, method, path, body=b"", left=2000, fields=(), request_id=None):
        """Sends one request on a new connection; returns (id, status or None, message)."""
        request_id = request_id or self.new_id()
        if body:
            fields = [*fields, ("Content-Length", len(body))]
        self.record.note(f"client sends {request_id} to {entry.name}: {method} {path}")
        answer = None
        try:
            reader, writer = await asyncio.open_connection(entry.ip, FRONT)
            writer.write(self.head(method, path, request_id, left, fields) + body)
            answer = await asyncio.wait_for(read_message(reader, response=True), left / 1000 + 1)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as problem:
            self.record.note(f"client of {request_id}: {type(problem).__name__}")
        status = int(answer.first.split()[1]) if answer else None
        self.record.note(f"client of {request_id} got {status}")
        return request_id, status, answer

    async def close(self):
        for entry in self.entries:
            if entry.is_running():
                try:
                    entry.process.send_signal(signal.SIGCONT)
                    entry.process.kill()
                except ProcessLookupError:
                    pass
                await entry.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, record_path):
    """Runs a case: case(deployment, trouble) returns the list of breaches."""
    import sys
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"trouble: {trouble}")

    async def run():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, trouble), 110)
        finally:
            await deployment.close()
    try:
        breaches = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as problem:
        record.note(f"could not run: {type(problem).__name__} {problem}")
        print(f"could not run: {type(problem).__name__} {problem}")
        sys.exit(2)
    for breach in breaches:
        record.note(f"BROKEN: {breach}")
        print(f"broken: {breach}")
    if not breaches:
        record.note("the rule held")
        print("the rule held")
    sys.exit(1 if breaches else 0)
