"""Stand-ins for the platform's store, its duty API and database backends.

Everything runs in one asyncio process on loopback addresses and follows
PROTOCOL.md. A case drives it: it starts bluebellspoked processes as the deploy
file does, switches disruptions on and off, and reads what was seen.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Connections:
    """Tells which process opened a connection to a stand-in."""

    def __init__(self):
        self.owners = {}

    @staticmethod
    def inode_of(port):
        with open("/proc/net/tcp", encoding="ascii") as f:
            next(f)
            for line in f:
                fields = line.split()
                if int(fields[1].split(":")[1], 16) == port and fields[9] != "0":
                    yield fields[1].split(":")[0], fields[9]

    def owner(self, peer, processes):
        wanted = {inode for _, inode in self.inode_of(peer[1])}
        for p in processes:
            if p.popen is None:
                continue
            folder = f"/proc/{p.popen.pid}/fd"
            try:
                for fd in os.listdir(folder):
                    target = os.readlink(f"{folder}/{fd}")
                    if target.startswith("socket:[") and target[8:-1] in wanted:
                        return p
            except OSError:
                continue
        return None


class Cut:
    """A network partition: what arrives is held until it ends."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()

    def begin(self):
        self.open.clear()

    def end(self):
        self.open.set()

    @property
    def active(self):
        return not self.open.is_set()


class HttpServer:
    """An HTTP/1.1 server. A cut holds requests that arrive meanwhile, and
    delivers them afterwards unless their sender has reset the connection."""

    def __init__(self, handler, cut):
        self.handler = handler
        self.cut = cut
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            if self.cut.active:
                # No connection is set up across a partition. One whose client
                # still waits afterwards is set up then.
                await self.cut.open.wait()
                await asyncio.sleep(0.005)
                if reader._eof or reader.exception() is not None:
                    return
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                held = self.cut.active
                if held:
                    await self.cut.open.wait()
                    await asyncio.sleep(0.005)
                    if reader.exception() is not None:
                        return
                status, answer = await self.handler(method, path, headers, body, held)
                if status is None:
                    continue
                text = json.dumps(answer).encode()
                if self.cut.active:
                    await self.cut.open.wait()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store."""

    ANSWER_S = 0.004

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def note(self, kind, obj, deleted):
        self.history.append((self.revision, kind, {"object": obj, "deleted": deleted}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec, create=True, revision=None):
        objects = self.objects.setdefault(kind, {})
        old = objects.get(name)
        if create and old is not None:
            return 409, old
        if not create and old is None:
            return 404, {}
        if old is not None and revision is not None and revision != old["meta"]["revision"]:
            return 409, old
        if old is not None and old["spec"] == spec:
            return 200, old
        self.revision += 1
        created = old["meta"]["created-revision"] if old else self.revision
        obj = {"meta": {"name": name, "revision": self.revision, "created-revision": created,
                        "finalizers": [], "deletion-pending": False},
               "spec": spec, "status": None}
        objects[name] = obj
        await self.note(kind, obj, False)
        return (201 if create else 200), obj

    async def set(self, kind, name, spec):
        create = name not in self.objects.get(kind, {})
        return await self.put(kind, name, spec, create)

    async def delete(self, kind, name, revision=None):
        obj = self.objects.get(kind, {}).get(name)
        if obj is None:
            return 404, {}
        if revision is not None and revision != obj["meta"]["revision"]:
            return 409, obj
        del self.objects[kind][name]
        self.revision += 1
        await self.note(kind, obj, True)
        return 200, obj

    async def handle(self, method, path, headers, body, held):
        del headers, held
        await asyncio.sleep(self.ANSWER_S)
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        parts = [unquote(p) for p in url.path.split("/") if p]
        if parts[:2] != ["api", "objects"]:
            return 404, {}
        kind = parts[2]
        name = parts[3] if len(parts) > 3 else None
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["wait-ms"]))
        if method == "GET" and name is None:
            items = [o for n, o in sorted(self.objects.get(kind, {}).items())
                     if n > query.get("after", "")]
            return 200, {"items": items, "has-more": False, "at-revision": self.revision}
        if method == "GET":
            obj = self.objects.get(kind, {}).get(name)
            return (200, obj) if obj else (404, {})
        if method == "DELETE":
            revision = query.get("revision")
            return await self.delete(kind, name, int(revision) if revision else None)
        value = json.loads(body)
        meta = value["meta"]
        return await self.put(kind, name or meta["name"], value["spec"], method == "POST",
                              meta.get("revision"))

    async def watch(self, kind, revision, wait_ms):
        def events():
            return [e for r, k, e in self.history if k == kind and r > revision]

        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while not events() and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        return 200, {"events": events(), "at-revision": self.revision}


class Backend:
    """One database backend."""

    def __init__(self, group, number, ident, zone):
        self.group = group
        self.number = number
        self.id = ident
        self.zone = zone
        self.one_way_s = 0.0  # network delay to the processes
        self.term = 1
        self.log = []  # (term, write id)
        self.primary = False
        self.paused = 0
        self.running = True
        self.dark = False
        self.deaf = False
        self.cut_from = set()  # processes that do not reach it
        self.born = int(time.time() * 1000)
        self.sessions = set()
        self.server = None
        self.address = None
        self.received = asyncio.Event()

    def position(self):
        return f"{self.term}.{len(self.log)}"

    def reachable(self):
        return self.running and not self.dark

    async def listen(self):
        host, port = ("127.0.0.1", 0) if self.address is None else self.address.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port),
                                                 reuse_address=True)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        owner = self.group.world.connections.owner(writer.get_extra_info("peername"),
                                                   self.group.world.processes)
        s = BackendSession(self, reader, writer, owner)
        self.sessions.add(s)
        try:
            await s.run()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.sessions.discard(s)
            writer.close()

    def stop(self):
        """A crash: connections end, nothing listens."""
        self.running = False
        self.server.close()
        for s in list(self.sessions):
            s.writer.transport.abort()
        self.sessions.clear()
        self.group.world.record(f"backend {self.id} crashes at {self.position()}")

    async def start(self):
        """It comes back with its log, as a replica if another was promoted."""
        self.running = True
        self.paused = 0
        self.born = int(time.time() * 1000)
        if any(b.term > self.term for b in self.group.backends):
            self.primary = False
        await self.listen()
        self.group.world.record(f"backend {self.id} is back, "
                                f"{'primary' if self.primary else 'replica'} {self.position()}")

    def entry(self):
        return {"service": self.group.service, "address": self.address, "zone": self.zone,
                "version": "v1", "capacity": 4, "state": "ready", "cold-remaining-ms": 0,
                "db-role": "primary" if self.primary else "replica", "born": self.born}


class BackendSession:
    def __init__(self, backend, reader, writer, owner):
        self.b = backend
        self.reader = reader
        self.writer = writer
        self.owner = owner
        self.state = "I"
        self.begun_term = None
        self.read_only = False
        self.writes = []
        self.values = {}
        self.prepared = {}

    async def path(self):
        """Waits while the backend is dark, or out of this process's reach."""
        while self.b.dark or self.owner in self.b.cut_from:
            await asyncio.sleep(0.01)

    async def say(self, *lines):
        await self.path()
        self.writer.write("".join(line + "\r\n" for line in lines).encode())
        await self.writer.drain()

    async def ready(self, *lines):
        await self.say(*lines, f"READY {self.state} {self.b.position()}")

    async def fail(self, code):
        if self.state == "T":
            self.state = "E"
        await self.ready(f"ERROR {code} {self.b.id}")

    async def run(self):
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            await self.path()
            if self.b.one_way_s:
                await asyncio.sleep(2 * self.b.one_way_s)
            if line.startswith("STARTUP "):
                _, service, _, *ident = line.split(" ")
                if service != self.b.group.service or (ident and ident[0] != self.b.id):
                    await self.say(f"ERROR MISROUTED {self.b.id}")
                    return
                await asyncio.sleep(self.b.group.connect_s)
                await self.ready()
                continue
            if not line.startswith("QUERY "):
                return
            _, ident, text = line.split(" ", 2)
            await self.query(ident, text)

    async def query(self, ident, text):
        b = self.b
        words = text.split(" ")
        if words[0] == "AFTER":
            term, number = map(int, words[1].split("."))
            if (b.term, len(b.log)) < (term, number):
                return await self.fail("LAGGING")
            words = words[2:]
        verb = words[0]
        if verb == "STATUS":
            return await self.ready(self.status(), "COMPLETE -")
        if verb == "PAUSE":
            if int(words[1]) > b.term and not b.primary:
                b.paused = int(words[1])
                b.group.world.record(f"backend {b.id} pauses for {b.paused} at {b.position()}")
            return await self.ready(self.status(), "COMPLETE -")
        if verb == "RESUME":
            b.paused = 0
            b.group.world.record(f"backend {b.id} resumes at {b.position()}")
            return await self.ready(self.status(), "COMPLETE -")
        if verb == "STEPDOWN":
            if b.primary and b.term < int(words[1]):
                b.primary = False
                b.group.world.record(f"backend {b.id} steps down at {b.position()}")
            return await self.ready(self.status(), "COMPLETE -")
        if self.state == "E" and verb != "ROLLBACK":
            return await self.fail("MALFORMED")
        if verb == "BEGIN":
            self.read_only = len(words) > 1
            if not self.read_only and not b.primary:
                return await self.fail("READONLY")
            self.state, self.begun_term = "T", b.term
            return await self.ready("COMPLETE -")
        if verb == "ROLLBACK":
            self.state, self.writes = "I", []
            return await self.ready("COMPLETE -")
        if verb == "SET":
            self.values[words[1]] = words[2]
            return await self.ready("COMPLETE -")
        if verb == "DISCARD":
            self.values, self.prepared = {}, {}
            return await self.ready("COMPLETE -")
        if verb == "PREPARE":
            self.prepared[words[1]] = words[2]
            return await self.ready("COMPLETE -")
        if verb == "EXECUTE":
            kind = self.prepared.get(words[1])
            if kind is None:
                return await self.fail("NOSTMT")
            verb, words = kind, [kind] + words[2:]
        lost = self.state == "T" and not self.read_only and (
            not b.primary or b.term != self.begun_term)
        if verb == "READ":
            if lost:
                return await self.fail("READONLY")
            await asyncio.sleep(b.group.work_s)
            return await self.ready(f"ROW {words[1]}", f"COMPLETE {b.id}.{ident}")
        if verb == "WRITE":
            if not b.primary or lost:
                return await self.fail("READONLY")
            await asyncio.sleep(b.group.work_s)
            self.writes.append(words[2])
            if self.state == "I":
                return await self.commit(ident)
            return await self.ready(f"COMPLETE {b.id}.{ident}")
        if verb == "COMMIT":
            if self.writes and lost:
                self.state, self.writes = "I", []
                return await self.ready(f"ERROR READONLY {b.id}")
            return await self.commit(ident)
        return await self.fail("MALFORMED")

    async def commit(self, ident):
        b = self.b
        self.state, writes, self.writes = "I", self.writes, []
        if writes:
            if not b.primary:
                return await self.ready(f"ERROR READONLY {b.id}")
            b.log.extend((b.term, w) for w in writes)
            term, number = b.term, len(b.log)
            await b.group.replicated(b, term, number)
        await self.ready(f"COMPLETE {b.id}.{ident}")

    def status(self):
        b = self.b
        return (f"ROW {'primary' if b.primary else 'replica'} {b.term} {b.position()} "
                f"{b.paused} 0 0 {len(b.sessions)}")


class Group:
    """A service: a primary and two replicas, sync-replicas 1."""

    PROMOTE_S = 0.3
    LEARN_S = 0.06

    def __init__(self, world, service, ids):
        self.world = world
        self.service = service
        self.connect_s = 0.012
        self.work_s = 0.006
        self.replica_delay_s = 0.008
        self.backends = [Backend(self, i, ident, "zone-a") for i, ident in enumerate(ids)]
        self.backends[0].primary = True
        self.acked = {}  # write id -> time at which the consumer had its answer
        self.lost = []
        self.promoting = False
        self.progress = asyncio.Condition()

    def find(self, ident):
        return next((b for b in self.backends if b.id == ident), None)

    def receives(self, replica, lead):
        return (replica is not lead and replica.reachable() and not replica.primary
                and replica.paused == 0 and not replica.deaf and lead.primary
                and lead.reachable() and replica.term == lead.term)

    async def replicate(self):
        while True:
            for lead in self.backends:
                if not lead.primary:
                    continue
                for r in self.backends:
                    if self.receives(r, lead) and len(r.log) < len(lead.log):
                        asyncio.ensure_future(self.deliver(r, lead, lead.term, list(lead.log)))
            await asyncio.sleep(0.004)

    async def deliver(self, r, lead, term, log):
        await asyncio.sleep(self.replica_delay_s)
        if self.receives(r, lead) and lead.term == term and len(log) > len(r.log):
            r.log = log
            async with self.progress:
                self.progress.notify_all()

    async def replicated(self, lead, term, number):
        """Waits until one replica has received the commit."""
        async with self.progress:
            while not any(r is not lead and r.term == term and len(r.log) >= number
                          and r.log[number - 1] == lead.log[number - 1]
                          for r in self.backends):
                await self.progress.wait()

    async def promote(self, ident):
        b = self.find(ident)
        if b is None or not b.reachable():
            return 409
        if b.primary and b.term == max(x.term for x in self.backends):
            return 200
        asyncio.ensure_future(self.take_lead(b))
        return 200

    async def take_lead(self, b):
        await asyncio.sleep(self.PROMOTE_S)
        if not b.reachable() or b.primary:
            return
        b.term = max(x.term for x in self.backends) + 1
        b.primary, b.paused = True, 0
        held = {w for _, w in b.log}
        missing = [w for w in self.acked if w not in held]
        self.world.record(f"backend {b.id} is promoted, leads at {b.position()}; "
                          f"{len(missing)} acknowledged commits are not in its log")
        for w in missing:
            self.world.record(f"LOST {w}: acknowledged at {self.acked[w]:.3f}, "
                              f"not in the log of {b.id}")
        self.lost += missing
        self.acked = {w: t for w, t in self.acked.items() if w in held}
        asyncio.ensure_future(self.follow(b))

    async def follow(self, lead):
        end = time.monotonic() + 1.0
        while lead.primary:
            await asyncio.sleep(self.LEARN_S)
            for r in self.backends:
                if r is lead or not r.reachable() or r.term >= lead.term:
                    continue
                if r.primary and time.monotonic() < end:
                    continue  # it continues for a second
                r.primary, r.paused, r.term = False, 0, lead.term
                r.log = lead.log[:min(len(r.log), len(lead.log))]


class Process:
    """One bluebellspoked, with the command of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"entry-{number}"
        self.ip = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{number + 2}"
        self.ports = [free_port(self.ip) for _ in range(3)]
        self.file = os.path.join(world.folder, self.name + ".json")
        self.log = os.path.join(world.folder, self.name + ".log")
        self.popen = None
        self.store_cut = Cut()
        self.cloud_cut = Cut()
        self.starts = 0

    async def prepare(self):
        store = HttpServer(self.world.store.handle, self.store_cut)
        cloud = HttpServer(self.world.handle_cloud, self.cloud_cut)
        await store.start()
        await cloud.start()
        settings = {
            "node-name": self.name, "role": "entry", "instance-class": "frontend",
            "serves": ["frontend", "control_plane"], "ip-address": self.ip,
            "zone": "zone-a", "region": "region-1", "zones": {"zone-a": "region-1"},
            "listen-addresses": {"frontend": f"{self.ip}:{self.ports[0]}",
                                 "ready": f"{self.ip}:{self.ports[1]}",
                                 "control-plane": f"{self.ip}:{self.ports[2]}"},
            "internal-port-range": [7560, 7575], "seed-nodes": [], "bootstrap": True,
            "in-tolerance": False,
            "limits": {"cpu-quota": 0.25, "cpu-speed-factor": 1, "memory-mb": 260,
                       "max-file-descriptors": 4300, "bandwidth-mbps": 1000.0, "disk-mb": 0},
            "data-directory": None, "discovery": "platform", "entrypoint": "virtual_ip",
            "heartbeat-interval-ms": 1200,
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": {"stability-window-ms": 5000, "ack-timeout-ms": 6000,
                       "drain-timeout-ms": 7000, "grace-period-s": 6,
                       "loss-tolerance-ms": 200, "config-propagation-ms": 4000,
                       "quota-window-s": 5, "quota-overage": 0.1, "quota-tolerance": 20,
                       "recovery-s": 12, "fencing-enforced": False,
                       "thaw-tolerance-ms": 300},
            "platform": {"address": store.address, "form": "objects", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-retention-s": 20,
                         "max-value-bytes": 1048576, "min-ttl-ms": 1000},
            "cloud-api": {"address": cloud.address, "rate-per-s": 50.0,
                          "duties": ["failover"], "duty-per-s": 50.0}}
        with open(self.file, "w", encoding="utf-8") as f:
            json.dump(settings, f)

    def start(self):
        self.starts += 1
        out = open(self.log, "ab")
        self.popen = subprocess.Popen(
            ["target/Source/daemon/main/bluebellspoked", "--charts", "Source/charts",
             "--metrics-port", "7575"], cwd=ROOT, stdout=out, stderr=out,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder,
                 "BLUEBELLSPOKE_NODE_FILE": self.file})
        self.world.record(f"process {self.name} starts")

    def kill(self, how=signal.SIGKILL):
        self.world.record(f"process {self.name} gets {how.name}")
        self.popen.send_signal(how)
        if how == signal.SIGKILL:
            self.popen.wait()

    def ended(self):
        return self.popen is not None and self.popen.poll() is not None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ports[1])
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class World:
    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.connections = Connections()
        self.store = Store()
        self.groups = []
        self.processes = []
        self.duty_calls = []
        self.cloud_status = None  # an answer that refuses duty calls
        self.refused_calls = 0
        self.newest_token = 0
        self.older_tokens = []
        self.tasks = []

    async def handle_cloud(self, method, path, headers, body, held):
        holder = headers.get("bluebellspoke-duty-holder")
        token = int(headers.get("bluebellspoke-fencing-token", 0))
        value = json.loads(body) if body else {}
        where = f"{method} {path} {value.get('id')} holder {holder} token {token}"
        if self.cloud_status is not None:
            self.refused_calls += 1
            self.record(f"duty call {where}: answered {self.cloud_status}, not done")
            return self.cloud_status, {}
        if token < self.newest_token:
            self.older_tokens.append((token, self.newest_token))
            self.record(f"ONE: {where} arrives after token {self.newest_token}")
        self.newest_token = max(self.newest_token, token)
        await asyncio.sleep(0.004)
        group = next((g for g in self.groups if g.service == value.get("service")), None)
        status = await group.promote(value.get("id")) if group else 404
        self.duty_calls.append((self.record.now(), holder, token, value.get("id"), status))
        self.record(f"duty call {where}{' (held up on the way)' if held else ''}: {status}")
        return status, {}

    def config(self, version, extra_routes=(), rate=2000):
        routes = []
        for g in self.groups:
            routes.append(self.route("orders-" + g.service, "primary", g.service))
        routes += extra_routes
        return {"version": version, "routes": routes,
                "services": [{"name": g.service, "max-connections": 32, "sync-replicas": 1}
                             for g in self.groups],
                "limits": {"tx-idle-ms": 3000},
                "tenants": [{"name": "ward", "api-keys": ["ward-key"], "rate-per-s": rate,
                             "burst": rate}]}

    @staticmethod
    def route(database, kind, service):
        return {"name": "r-" + database, "host": database, "type": kind, "service": service,
                "timeout-ms": 800, "target-latency-ms": 800, "priority": 1,
                "max-staleness-ms": 1500}

    async def start(self, processes, config_version=7, **config):
        for g in self.groups:
            for b in g.backends:
                await b.listen()
                await self.store.set("servers", b.id, b.entry())
            self.tasks.append(asyncio.ensure_future(g.replicate()))
        self.tasks.append(asyncio.ensure_future(self.status_reports()))
        await self.store.set("config", "main", self.config(config_version, **config))
        for i in range(processes):
            p = Process(self, i)
            await p.prepare()
            self.processes.append(p)
        for p in self.processes:
            p.start()
        for p in self.processes:
            await self.until(p.is_ready, 10, f"{p.name} is ready")

    async def status_reports(self):
        """Each running backend reports itself; a silent one's entry lapses."""
        seen = {}
        while True:
            for g in self.groups:
                for b in g.backends:
                    if b.reachable():
                        seen[b.id] = time.monotonic()
                        await self.store.set("servers", b.id, b.entry())
                    elif time.monotonic() - seen.get(b.id, 0) > 3.6:
                        await self.store.delete("servers", b.id)
            await asyncio.sleep(0.2)

    async def until(self, condition, limit_s, what):
        end = time.monotonic() + limit_s
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.01)

    def duty(self):
        obj = self.store.objects.get("bluebellspoke-duties", {}).get("failover")
        return obj["spec"] if obj else None

    def holder(self):
        spec = self.duty()
        return next((p for p in self.processes if spec and p.name == spec.get("holder")), None)

    def end(self):
        for p in self.processes:
            if p.popen is not None and p.popen.poll() is None:
                p.popen.kill()
                p.popen.wait()
        for t in self.tasks:
            t.cancel()
        if os.environ.get("KEEP_LOGS"):
            for p in self.processes:
                shutil.copy(p.log, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


class Consumer:
    """One consumer: connects, sends a statement, reads its answer."""

    def __init__(self, world, database, process):
        self.world = world
        self.database = database
        self.process = process
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.process.ip,
                                                                 self.process.ports[0])
        self.writer.write(f"STARTUP {self.database} ward-key\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode())

    async def ask(self, ident, text, limit_s=4):
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        answer = []
        while True:
            line = await asyncio.wait_for(self.reader.readline(), limit_s)
            if not line.endswith(b"\r\n"):
                raise ConnectionError("closed")
            line = line.decode()[:-2]
            if line.startswith("READY"):
                return answer
            answer.append(line)

    def close(self):
        if self.writer:
            self.writer.close()


async def write_forever(world, group, process, number, pause_s):
    """A consumer that writes one item after the other, as single statements."""
    count = 0
    consumer = None
    while True:
        count += 1
        ident = f"w{number}x{count}"
        data = f"d{number}x{count}"
        try:
            if consumer is None:
                consumer = Consumer(world, "orders-" + group.service, process)
                await consumer.connect()
            answer = await consumer.ask(ident, f"WRITE item{number} {data}")
            world.record(f"{process.name} WRITE {data}: {' | '.join(answer)}")
            if answer and answer[-1].startswith("COMPLETE "):
                group.acked[data] = world.record.now()
        except (OSError, asyncio.TimeoutError) as e:
            world.record(f"{process.name} WRITE {data}: no answer ({type(e).__name__})")
            if consumer:
                consumer.close()
            consumer = None
        await asyncio.sleep(pause_s)


def run_case(case_folder, play):
    """Plays a case. Returns 1 if the rule was broken, 0 if not, 2 if it couldn't
    run."""
    async def main():
        world = World(case_folder)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        try:
            broken = await asyncio.wait_for(play(world, trouble), 110)
            world.record("result: " + ("BROKEN: " + broken if broken else "held"))
            print("BROKEN: " + broken if broken else "held")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as e:
            world.record(f"could not run: {type(e).__name__} {e}")
            print(f"could not run: {type(e).__name__} {e}")
            return 2
        finally:
            world.end()

    code = asyncio.new_event_loop().run_until_complete(main())
    sys.stdout.flush()
    os._exit(code)  # nothing is left to wait for
