"""Stand-ins for the cases 6 to 10: store, engines, clients, host processes.

They follow the users' pages: the store answers lists, watches and conditional
writes; an engine runs up to its slots, queues a few more, says `X-Not-Run`
when it is full and 421 when another instance is named; clients keep their
connections. All addresses are loopback addresses of this run.
"""
import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST_NAME = "a.example"
FRONT, READY, DIRECTORY, CONTROL = 8227, 8220, 8224, 8229
PORT_RANGE = [7340, 7355]


def now_ms():
    return int(time.time() * 1000)


class Record:
    """Lines of `record.txt`: seconds since the start, what, fields."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.begun = time.monotonic()

    def line(self, what, **fields):
        rest = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{time.monotonic() - self.begun:9.3f} {what} {rest}\n")


# ---- HTTP -------------------------------------------------------------------


class Message:
    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields)


async def read_chunk(reader):
    """The next chunk of a body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, message, is_answer=False):
    if "chunked" in message.get("transfer-encoding").lower():
        while chunk := await read_chunk(reader):
            message.body += chunk
    elif message.get("content-length"):
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif is_answer and message.status not in (204, 304):
        message.body = await reader.read()
    return message


def encode(start, fields, body=b"", length=True):
    head = [start] + [f"{k}: {v}" for k, v in fields]
    if length:
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- The platform's store ---------------------------------------------------


class Store:
    def __init__(self, ip):
        self.ip, self.port = ip, 0
        self.rev = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.busy_for = set()  # Addresses at which it answers 503.

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def listen_at(self, ip):
        """One more address, as each machine may be told one of its own."""
        await asyncio.start_server(self.serve, ip, self.port)
        return f"{ip}:{self.port}"

    async def note(self, kind, item, removed):
        self.events.append((self.rev, kind, {"Removed": removed, "Object": json.loads(json.dumps(item))}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec):
        self.rev += 1
        kinds = self.objects.setdefault(kind, {})
        known = kinds.get(name)
        created = known["Meta"]["CreateRev"] if known else self.rev
        kinds[name] = {
            "Meta": {"Name": name, "Rev": self.rev, "CreateRev": created, "Finalizers": [], "Deleting": False},
            "Spec": spec,
            "Status": None,
        }
        await self.note(kind, kinds[name], False)
        return kinds[name]

    async def remove(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return None
        self.rev += 1
        item["Meta"]["Rev"] = self.rev
        await self.note(kind, item, True)
        return item

    async def serve(self, reader, writer):
        own_ip = writer.get_extra_info("sockname")[0]
        try:
            while True:
                request = await read_body(reader, await read_head(reader))
                status, answer = 503, {}
                if own_ip not in self.busy_for:
                    status, answer = await self.answer(request, own_ip)
                body = json.dumps(answer).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, request, own_ip):
        method, target, _ = request.start.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(p.partition("=")[::2] for p in query_text.split("&") if p)
        parts = path.split("/")[2:]
        kind, name = parts[0], "/".join(parts[1:])
        items = self.objects.setdefault(kind, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)), own_ip)
        if method == "GET" and name:
            return (200, items[name]) if name in items else (404, {})
        if method == "GET":
            names = sorted(n for n in items if n > query.get("After", ""))
            page = [items[n] for n in names[:500]]
            return 200, {"Items": page, "MorePages": len(names) > 500, "CurrentRev": self.rev}
        spec = json.loads(request.body or b"{}")
        meta = spec.get("Meta", {})
        name = name or meta.get("Name", "")
        rev = meta.get("Rev", query.get("Rev"))
        if method == "POST":
            if name in items:
                return 409, items[name]
            return 201, await self.put(kind, name, spec.get("Spec"))
        if name not in items:
            return 404, {}
        if rev is not None and int(rev) != items[name]["Meta"]["Rev"]:
            return 409, items[name]
        if method == "DELETE":
            return 200, await self.remove(kind, name)
        return 200, await self.put(kind, name, spec.get("Spec"))

    async def watch(self, kind, since, wait_ms, own_ip):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if own_ip in self.busy_for:
                return 503, {}
            found = [e for rev, k, e in self.events if k == kind and rev > since]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "CurrentRev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---- Engines ----------------------------------------------------------------


class Engine:
    """An engine of a service. `on_run(engine, request, conn)` may replace the
    usual answer of a request that has run."""

    def __init__(self, store, record, service, name, ip, slots=6, queue=24, work_ms=30):
        self.store, self.record = store, record
        self.service, self.name, self.ip, self.port = service, name, ip, 0
        self.slots, self.queue, self.work_ms = slots, queue, work_ms
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.born, self.seq = now_ms(), 0
        self.runs = []
        self.weights = 1
        self.on_run = None
        self.server = None
        self.writers = set()
        self.zone = "z1"

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.report("ready")
        self.beat = asyncio.create_task(self.beats())

    async def report(self, state):
        self.state = state
        self.seq += 1
        await self.store.put("servers", self.name, {
            "Service": self.service, "Addr": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": state,
            "ColdLeftMs": 0, "Seq": self.seq, "born": self.born})

    async def beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.report(self.state)

    async def crash(self):
        """Ends like a killed process: all its connections are reset."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def head(self, request, status):
        return [("X-Request-Id", request.get("x-request-id")),
                ("X-Seal", f"{self.name}.{len(self.runs)}"), ("Keep-Alive", "timeout=15")]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_body(reader, await read_head(reader))
                if not await self.handle(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        named = request.get("x-target-instance")
        if named and named != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("X-Instance", self.name), ("At-Server", self.name),
                                 ("X-Request-Id", request.get("x-request-id"))]))
            return True
        expected = request.get("x-expect-version")
        if expected and expected != str(self.weights):
            self.record.line("engine_421", engine=self.name, id=request.get("x-request-id"),
                             expects=expected, has=self.weights)
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("X-Instance", self.name), ("At-Server", self.name),
                                 ("X-Request-Id", request.get("x-request-id"))]))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(encode("HTTP/1.1 503 Service Unavailable",
                                [("X-Not-Run", "1"), ("X-Request-Id", request.get("x-request-id"))]))
            return True
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            self.runs.append((time.monotonic(), request))
            self.record.line("run", engine=self.name, id=request.get("x-request-id"),
                             target=request.start.split(" ")[1])
            if self.on_run is not None:
                handled = await self.on_run(self, request, writer)
                if handled is not None:
                    return handled
            await asyncio.sleep(self.work_ms / 1000)
            body = f"answer of {self.name} to {request.get('x-request-id')}".encode()
            writer.write(encode("HTTP/1.1 200 OK", self.head(request, 200), body))
            await writer.drain()
            return True
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()


async def write_stream(engine, request, writer, events=8, pause_ms=20, first_ms=60):
    """The usual answer of a model engine: events with increasing ids. Goes on
    behind `Last-Event-Id`."""
    await asyncio.sleep(first_ms / 1000)
    last = int(request.get("last-event-id") or 0)
    head = engine.head(request, 200) + [
        ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
        ("X-Weight-Versions", str(engine.weights))]
    writer.write(encode("HTTP/1.1 200 OK", head, length=False))
    for number in range(last + 1, events + 1):
        event = f"id: {number}\ndata: {engine.name} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause_ms / 1000)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


# ---- Hosts ------------------------------------------------------------------


class Host:
    def __init__(self, site, number, zone):
        self.site, self.number, self.zone = site, number, zone
        self.ip = site.ip(number)
        self.name = f"front-{zone}-{number}"
        self.process = None
        self.log = os.path.join(site.folder, self.name + ".log")
        self.settings = os.path.join(site.folder, self.name + ".json")

    def write_settings(self):
        seeds = [f"{self.site.ip(n)}:{CONTROL}" for n in (1, 2, 3)]
        zones = {z: "region" for z in self.site.zones}
        with open(self.settings, "w") as out:
            json.dump({
                "NodeName": self.name, "Role": "host", "MachineClass": "front",
                "Serves": ["front", "directory", "control"], "Ip": self.ip,
                "Zone": self.zone, "Region": "region", "Zones": zones,
                "Listen": {"Front": f"{self.ip}:{FRONT}", "ReadyAddr": f"{self.ip}:{READY}",
                           "Control": f"{self.ip}:{CONTROL}", "Directory": f"{self.ip}:{DIRECTORY}"},
                "PortRange": PORT_RANGE, "Seeds": seeds, "Bootstrap": True,
                "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4200,
                           "LinkMbps": 1000.0, "DiskMb": 0},
                "DataDir": None, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
                "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                              "stream", "tenants", "platform", "spans"],
                "Bounds": self.site.bounds,
                "Platform": {"Addr": self.site.store_addresses[self.name], "form": "objects", "WritesPerS": 400,
                             "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576,
                             "TtlMinMs": 1000}}, out)

    def start(self):
        self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["COMFREYFLOW_NODE_FILE"] = self.settings
        self.process = subprocess.Popen(["target/comfreyflow-host"], cwd=ROOT, env=environment,
                                        stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)
        self.site.record.line("host_started", host=self.name, pid=self.process.pid)

    def signal(self, number):
        self.site.record.line("signal", host=self.name, signal=int(number))
        self.process.send_signal(number)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Client:
    """One connection to a host that is kept and made anew when it is closed."""

    def __init__(self, site, ip, key="key1"):
        self.site, self.ip, self.key = site, ip, key
        self.reader = self.writer = None

    async def call(self, method, target, fields=(), body=b"", deadline_ms=1500):
        request_id = self.site.next_id()
        head = [("Host", HOST_NAME), ("X-Request-Id", request_id),
                ("X-Deadline-Ms", str(deadline_ms)), ("Authorization", f"Token {self.key}")]
        begun = time.monotonic()
        status, detail = 0, ""
        answer = None
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, FRONT, limit=1 << 20), 1)
            self.writer.write(encode(f"{method} {target} HTTP/1.1", head + list(fields), body,
                                     bool(body) or method == "POST"))
            answer = await asyncio.wait_for(self.read(), deadline_ms / 1000 + 1)
            status = answer.status
            if status >= 400 and not answer.get("x-seal"):
                detail = json.loads(answer.body or b"{}").get("code", "")
            if answer.get("connection").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            detail = type(error).__name__
            self.close()
        self.site.record.line("answer", id=request_id, host=self.ip, target=target, status=status,
                              code=detail or "-", ms=int((time.monotonic() - begun) * 1000))
        return request_id, status, answer

    async def read(self):
        return await read_body(self.reader, await read_head(self.reader), True)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# ---- The site ---------------------------------------------------------------

BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000, "DowngradeMs": 250,
          "StretchMs": 5000, "RevokeStrict": False, "RevokeMs": 5000, "RetryRatio": 0.2,
          "RetryWindowS": 10, "RetrySlack": 100, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0,
          "stall_ms": 1500, "HoldMaxMs": 20000, "FreeMs": 4000, "IdleMaxMs": 9000, "ttl_max_s": 5}


ENGINE = {"Slots": 16, "KvTokens": 315000, "KvBytes": 163840, "LinkMbps": 400000.0, "Stride": 51,
          "Models": [{"Name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
          "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
          "delays": [], "usual": {"prompt": 5000, "answer": 400}, "HopMs": 0.05}


def route(name, prefix, kind, service, timeout_ms=800, aim_ms=150, attempts=None, **more):
    return {"Name": name, "Host": HOST_NAME, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms, "Priority": 2,
            "Service": service, "Attempts": attempts or (1 if kind == "unsafe" else 2),
            "Public": False, "Sticky": False, **more}


class Site:
    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="comfreyflow-case-")
        self.folder = self.temporary.name
        self.zones = ["z1", "z2", "z3"]
        self.bounds = dict(BOUNDS)
        self.hosts, self.engines = [], []
        self.ids = 0
        self.net = self.free_net()
        self.store = Store(self.ip(200))
        self.routes, self.services = [], []
        self.tenants = [{"Name": "tenant1", "ApiKeys": ["key1"], "Priority": 1}]
        self.version = 0
        self.store_ips, self.store_addresses = {}, {}
        self.limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}

    @staticmethod
    def free_net():
        """A part of the loopback network on which no other run listens."""
        for _ in range(100):
            net = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
            probe = socket.socket()
            try:
                probe.bind((f"{net}.1", FRONT))
                return net
            except OSError:
                continue
            finally:
                probe.close()
        raise OSError("no free loopback network")

    def ip(self, number):
        return f"{self.net}.{number}"

    def next_id(self):
        self.ids += 1
        return f"{self.ids:016x}"

    async def put_config(self):
        self.version += 7
        await self.store.put("config", "main", {
            "Version": self.version, "Routes": self.routes, "Services": self.services,
            "Limits": self.limits, "Tenants": self.tenants})
        self.record.line("config", version=self.version, routes=len(self.routes),
                         **{k: v for k, v in self.limits.items() if k.startswith("Max")})

    def add_service(self, name, **more):
        self.services.append({"Name": name, "HealthPath": "/healthz", "MaxConns": 96,
                              "Protocol": "h1", "Tls": False, **more})

    async def add_engine(self, service, name, **more):
        engine = Engine(self.store, self.record, service, name, self.ip(100 + len(self.engines)), **more)
        engine.zone = self.zones[len(self.engines) % len(self.zones)]
        self.engines.append(engine)
        await engine.start()
        return engine

    async def start(self, hosts):
        if not os.access(os.path.join(ROOT, "target/comfreyflow-host"), os.X_OK):
            raise OSError("target/comfreyflow-host is not built")
        for number in range(1, hosts + 1):
            host = Host(self, number, self.zones[(number - 1) % len(self.zones)])
            self.hosts.append(host)
            self.store_ips[host.name] = self.ip(200 + number)
            self.store_addresses[host.name] = await self.store.listen_at(self.ip(200 + number))
            host.start()
        until = time.monotonic() + 10
        for host in self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise OSError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(2)

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.open_connection(host.ip, READY)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def end(self):
        for host in self.hosts:
            host.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.temporary.cleanup()


def run(case, folder, trouble):
    """Runs `case(site, trouble)`, which returns whether the rule held."""
    async def play():
        # Tasks that are cancelled at the end need no report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        site = Site(folder)
        site.record.line("case", trouble=int(trouble))
        try:
            await site.store.start()
            return await asyncio.wait_for(case(site, trouble), 110)
        finally:
            site.end()

    try:
        held = asyncio.run(play())
    except Exception as error:  # The case could not run.
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
