"""Stand-ins of the platform, of one database group and of clients.

They follow PROTOCOL.md and run in the process of the case; the daemons are
processes of their own, started with the command of the deploy file.  Only the
standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
SERVICE = "huvo11a"
ZONES = ("recife", "fortaleza", "salvador")
PRIMARY_DB, BOUNDED_DB, SESSION_DB = "lepu270", "archive31", "layers44"
HEARTBEAT_S = 1.2
TERMS = "BUSY ABORTED LAGGING READONLY WRONGNODE TOOMANYCON".split()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        at = time.monotonic() - self._began
        self._file.write(f"{at:9.4f} {what} {text}\n")
        self._file.flush()


# HTTP


async def serve_http(host, port, handle):
    """Serve HTTP/1.1; ``handle`` returns (status, headers, body) or None.

    None ends the connection without an answer.
    """

    async def serve(reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.split("\r\n")
            method, target, _ = first.split(" ", 2)
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines)
            }
            body = await reader.readexactly(
                int(headers.get("content-length", 0))
            )
            answer = await handle(method, target, headers, body)
            if answer is not None:
                status, extra, content = answer
                data = json.dumps(content).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                    "Connection": "close",
                    **extra,
                }
                text = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
                writer.write(
                    f"HTTP/1.1 {status} -\r\n{text}\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, reuse_address=True)


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 70
        #: Daemons that the store turns away with 503.
        self.turned_away = set()
        self._changed = asyncio.Event()

    async def listen(self, host, port, daemon):
        """Serve one daemon at an address of its own."""

        async def handle(method, target, headers, body):
            await asyncio.sleep(0.004)
            if daemon in self.turned_away:
                return 503, self._era(), {}
            url = parse.urlsplit(target)
            query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
            status, answer = await self._call(method, url.path, query, body)
            return status, self._era(), answer

        return await serve_http(host, port, handle)

    def _era(self):
        return {"Store-Era": "1"}

    async def _call(self, method, path, query, body):
        self._expire()
        if path == "/api/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {}
            return 200, {**item, "store-revision": self.revision}
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {
                "items": items[:500],
                "has-more": len(items) > 500,
                "store-revision": self.revision,
            }
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(body))
        if path == "/api/kv-lease":
            ttl_ms = max(json.loads(body)["ttl-ms"], 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [
                time.monotonic() + ttl_ms / 1000,
                ttl_ms / 1000,
            ]
            return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/api/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            known = self.leases[lease]
            known[0] = time.monotonic() + known[1]
            return 200, {}
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            events = [
                each
                for each in self.history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events,
                    "store-revision": self.revision,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body):
        rows = body.get("expect-rev", [])
        found = [self.items.get(row["key"]) for row in rows]
        now = [item["revision"] if item else 0 for item in found]
        if now != [row["revision"] for row in rows]:
            return 412, {"items": [item for item in found if item]}
        writes = body.get("writes", [])
        if any(
            each.get("lease", 0) not in (0, *self.leases) for each in writes
        ):
            return 404, {}
        for each in writes:
            self.put(
                each["key"],
                base64.b64decode(each["value"]),
                each.get("lease", 0),
            )
            if each["key"].startswith("promotions/"):
                self.record(
                    "claim",
                    revision=self.revision,
                    value=base64.b64decode(each["value"]).decode(),
                )
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        known = self.items.get(key, {"created": self.revision})
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"],
            "lease": lease,
        }
        self.history.append(self.items[key])
        self._signal()

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )
            self._signal()

    def _signal(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.delete(key)

    def _expire(self):
        for lease, (due, _) in list(self.leases.items()):
            if due <= time.monotonic():
                self._end_lease(lease)


# Members


class Member:
    """One database server; logs are lists of (term, number, write id)."""

    def __init__(self, group, name, zone, host, link_s):
        self.group, self.id, self.zone = group, name, zone
        self.host, self.port = host, 8080
        #: One-way delay from the primary, in seconds.
        self.link_s = link_s
        self.leads = False
        self.term = 1
        self.log = []
        self.paused = 0
        self.deaf = False
        self.up = True
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.registers = True
        self.lag_s = 0.06
        self._seen = []
        self.connections = set()
        self._slots = asyncio.Semaphore(2)
        self._waiting = 0
        self._server = None

    @property
    def received(self):
        """Position of the log."""
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else "1.0"

    def visible(self):
        """Number of commits that reads see."""
        if self.leads:
            return len(self.log)
        now = time.monotonic()
        while self._seen and self._seen[0][0] <= now:
            self._applied = self._seen.pop(0)[1]
        return min(getattr(self, "_applied", 0), len(self.log))

    def position(self):
        """Position that reads see."""
        seen = self.visible()
        return f"{self.log[seen - 1][0]}.{self.log[seen - 1][1]}" if seen else (
            "1.0"
        )

    def holds(self, text):
        """Whether reads see a position."""
        wanted = tuple(int(each) for each in text.split("."))
        return tuple(int(each) for each in self.position().split(".")) >= (
            wanted
        )

    def receive(self):
        """Receive all that the primary has, unless something hinders it."""
        primary = self.group.primary
        if self is primary or not (self.up and primary.up):
            return
        if self.deaf or self.paused:
            return
        self.term = max(self.term, primary.term)
        if len(primary.log) > len(self.log):
            self.log += primary.log[len(self.log) :]
            self._seen.append((time.monotonic() + self.lag_s, len(self.log)))
        self.group.receipt()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )

    def crash(self):
        """End without notice."""
        self.up = False
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            line = (await reader.readline()).decode().split()
            if line[:2] != ["STARTUP", SERVICE] or (
                len(line) > 3 and line[3] != self.id
            ):
                writer.write(b"ERROR WRONGNODE\r\n")
                return
            if len(self.connections) >= 16:
                writer.write(b"ERROR TOOMANYCON\r\n")
                return
            self.connections.add(writer)
            await asyncio.sleep(0.012)
            writer.write(f"READY I {self.position()}\r\n".encode())
            session = Session(self)
            while line := await reader.readline():
                _, statement, text = line.decode().rstrip("\r\n").split(" ", 2)
                answer = await session.run(statement, text)
                writer.write(
                    answer.encode()
                    + f"READY {session.state} {self.position()}\r\n".encode()
                )
                await writer.drain()
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def row(self):
        """The row of STATUS."""
        role = "primary" if self.leads else "replica"
        return (
            f"DATAROW {role} {self.term} {self.received} {self.paused} "
            f"{int(self.lag_s * 1000)} 0 {len(self.connections)}\r\n"
            "COMPLETE -\r\n"
        )

    async def work(self):
        """Take a slot for a statement; False if the queue is full."""
        if self._waiting >= 16:
            return False
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            await asyncio.sleep(random.uniform(0.001, 0.004))
        finally:
            self._slots.release()
        return True


class Session:
    """State of one connection at a member."""

    def __init__(self, member):
        self.member = member
        self.state = "I"
        self.names = {}
        self.plain = False
        self.term = 0
        self.writes = []

    async def run(self, statement, text):
        """Run one statement; return its answer without READY."""
        member, after = self.member, None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word == "PAUSE":
            if int(rest) > member.term and not member.leads:
                member.paused = int(rest)
                member.group.record("hold", member=member.id, term=rest)
            return member.row()
        if word == "RESUME":
            if member.paused:
                member.group.record("release", member=member.id)
            member.paused = 0
            member.receive()
            return "COMPLETE -\r\n"
        if word == "STATUS" or word == "DEMOTE":
            return member.row()
        if word == "RESET":
            self.names.clear()
            return "COMPLETE -\r\n"
        if word == "SET":
            return "COMPLETE -\r\n"
        if word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            self.names[name] = kind
            return "COMPLETE -\r\n"
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return "COMPLETE -\r\n"
        if self.state == "E":
            return "ERROR MALFORMED the transaction failed\r\n"
        if after is not None and not member.holds(after):
            return "ERROR LAGGING\r\n"
        if word == "BEGIN":
            return self._begin(rest)
        return await self._work(statement, word, rest)

    def _begin(self, rest):
        self.plain = rest != "READ"
        if self.plain and not self.member.leads:
            return f"ERROR READONLY {self.member.id}\r\n"
        self.state, self.writes = "T", []
        self.term = self.member.term
        return "COMPLETE -\r\n"

    def _fail(self, answer):
        if self.state == "T":
            self.state, self.writes = "E", []
        return answer

    async def _work(self, statement, word, rest):
        member = self.member
        if word == "EXECUTE":
            word = self.names.get(rest.partition(" ")[0], "UNKNOWN")
            if word == "UNKNOWN":
                return self._fail("ERROR UNKNOWN\r\n")
        if not await member.work():
            return self._fail("ERROR BUSY\r\n")
        lost_lead = self.state == "T" and self.plain and not (
            member.leads and member.term == self.term
        )
        writes = word == "WRITE" or (word == "COMMIT" and self.writes)
        if (writes and not member.leads) or (lost_lead and word != "COMMIT"):
            return self._fail(f"ERROR READONLY {member.id}\r\n")
        if word == "READ":
            member.group.record("run", member=member.id, id=statement)
            return f"DATAROW qhz\r\nCOMPLETE {member.id}.{statement}\r\n"
        if word == "WRITE" and self.state == "T":
            self.writes.append(statement)
            return f"COMPLETE {member.id}.{statement}\r\n"
        if word == "WRITE":
            self.writes = [statement]
        pending, self.writes, self.state = self.writes, [], "I"
        if pending and not await member.group.commit(member, pending):
            return "ERROR TIMEOUT\r\n"
        return f"COMPLETE {member.id}.{statement}\r\n"


class Group:
    """Members of one service, their replication, and who leads."""

    PROMOTE_S = 0.6

    def __init__(self, record, prefix):
        self.record = record
        self.members = [
            Member(self, f"i-{place + 1}a91c{place}", zone, host, link_s)
            for place, (zone, host, link_s) in enumerate(
                (zone, f"{prefix}.{101 + place}", 0.0009)
                for place, zone in enumerate(ZONES)
            )
        ]
        self.primary = self.members[0]
        self.primary.leads = True
        #: Write ids whose commit a primary has acknowledged.
        self.acknowledged = []
        #: Acknowledged writes that a promoted member lacked.
        self.lost = []
        self._received = asyncio.Event()

    @property
    def replicas(self):
        """All members but the primary."""
        return [each for each in self.members if not each.leads]

    def receipt(self):
        """Wake the commits that wait for a replica."""
        self._received.set()
        self._received = asyncio.Event()

    async def commit(self, primary, writes):
        """Append a commit; True once one replica has received it."""
        number = len(primary.log) + 1
        term = primary.term
        primary.log.append((term, number, tuple(writes)))
        self.record(
            "run", member=primary.id, commit=f"{term}.{number}", ids=writes
        )
        loop = asyncio.get_running_loop()
        for each in self.replicas:
            loop.call_later(each.link_s, each.receive)
        while True:
            if not (primary.leads and primary.term == term):
                return False
            if any(len(each.log) >= number for each in self.replicas):
                self.acknowledged += writes
                return True
            await self._received.wait()

    def promote(self, member):
        """Let a member lead the next term with what it has received."""
        held = {write for entry in member.log for write in entry[2]}
        missing = [each for each in self.acknowledged if each not in held]
        self.lost += missing
        self.record(
            "promoted",
            member=member.id,
            log=member.received,
            old=self.primary.id,
            old_log=self.primary.received,
            acknowledged_but_missing=missing,
        )
        term = 1 + max(each.term for each in self.members)
        for each in self.members:
            each.leads, each.paused = each is member, 0
            each.term = term if each is member else each.term
            each.log = each.log[: len(member.log)]
        self.primary = member
        self.receipt()
        for each in self.members:
            each.receive()

    async def beat(self, store):
        """Write the members' entries until cancelled."""
        due = {}
        seen = {}
        while True:
            now = time.monotonic()
            for each in self.members:
                key = f"servers/{each.id}"
                said = (each.state, each.leads)
                if not (each.up and each.registers):
                    if key in store.items and now - due[key] > 2 * HEARTBEAT_S:
                        store.delete(key)
                        self.record("entry_removed", member=each.id)
                    continue
                if now < due.get(key, 0) and seen.get(key) == said:
                    continue
                due[key], seen[key] = now + HEARTBEAT_S, said
                each.sequence += 1
                entry = {
                    "service": SERVICE,
                    "address": f"{each.host}:{each.port}",
                    "zone": each.zone,
                    "version": "v1",
                    "capacity": 2,
                    "state": each.state,
                    "warmup-left-ms": 0,
                    "db-role": "primary" if each.leads else "replica",
                    "seq": each.sequence,
                    "born": each.born,
                }
                store.put(key, json.dumps(entry).encode())
            await asyncio.sleep(0.05)


class Cloud:
    """The platform's interface for promotions.

    ``policy`` is called with the number of the call, from 1, and returns
    ("now", None), ("refuse", status) or ("late", seconds): no answer, and
    executed that many seconds later.
    """

    def __init__(self, record, group, policy):
        self.record, self.group, self.policy = record, group, policy
        self.calls = 0
        self.newest_token = 0
        self.late = []

    async def listen(self, host, port):
        """Serve the daemons."""

        async def handle(method, target, headers, body):
            call = json.loads(body)
            token = int(headers["x-fencing-token"])
            self.calls += 1
            number = self.calls
            action, value = self.policy(number)
            self.record(
                "promote_call",
                number=number,
                member=call["id"],
                holder=headers["x-lease-holder"],
                token=token,
                action=action,
                value=value,
            )
            if action == "refuse":
                return value, {}, {}
            if action == "late":
                loop = asyncio.get_running_loop()
                loop.call_later(value, self.execute, number, call["id"], token)
                await asyncio.sleep(30)
                return None
            return self.execute(number, call["id"], token), {}, {}

        return await serve_http(host, port, handle)

    def execute(self, number, name, token):
        """Check the fence and begin the promotion; return the status."""
        member = next(
            (each for each in self.group.members if each.id == name), None
        )
        status = 200
        if token < self.newest_token or member is None or not member.up:
            status = 409
        elif not member.leads:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.group.PROMOTE_S, self.group.promote, member
            )
        if status == 200:
            self.newest_token = token
        self.record(
            "promote_executed", number=number, member=name, status=status
        )
        return status


def manifest(version=7):
    """Return a manifest with a route of each kind."""
    kinds = (
        (PRIMARY_DB, "primary", 100, 800, 0),
        (BOUNDED_DB, "bounded_stale", 300, 1200, 1500),
        (SESSION_DB, "read_your_writes", 200, 800, 2500),
    )
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "prefix": "/",
                "route-kind": kind,
                "timeout-ms": timeout_ms,
                "latency-goal-ms": goal_ms,
                "priority": 1,
                "service": SERVICE,
                "max-attempts": 2,
                "max-staleness-ms": stale_ms,
            }
            for host, kind, goal_ms, timeout_ms, stale_ms in kinds
        ],
        "services": [
            {"name": SERVICE, "max-conns": 16, "sync-replicas": 1}
        ],
        "limits": {"tx-idle-ms": 3000},
    }


# Daemons

SETTINGS = """\
node-name={name}
role=proxy
machine-class=front
serves=front
ip={host}
zone={zone}
region=nordeste
zones.recife=nordeste
zones.fortaleza=nordeste
zones.salvador=nordeste
listen-addrs.front={host}:8784
listen-addrs.ready={host}:8785
listen-addrs.admin={host}:8782
port-range=7440,7455
bootstrap={bootstrap}
heartbeat-ms=1200
contract-params.contact-ms=4000
contract-params.drain-ms=7000
contract-params.grace-s=6
contract-params.config-apply-ms=3000
contract-params.fencing-required=true
platform.address={store}
platform.form=kv
cloud-api.address={cloud}
cloud-api.duties=promotion
"""


class Daemon:
    """One daemon of the project as a process of its own."""

    def __init__(self, name, zone, host, store, cloud, folder):
        self.name, self.host = name, host
        self._fields = {
            "name": name,
            "zone": zone,
            "host": host,
            "store": store,
            "cloud": cloud,
        }
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self.process = None
        self.started_at = 0.0

    async def start(self, bootstrap):
        """Start the process with the command of the deploy file."""
        self._settings.write_text(
            SETTINGS.format(bootstrap=bootstrap, **self._fields)
        )
        self.started_at = time.monotonic()
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "burdockcart.platform",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BURDOCKCART_SETTINGS": str(self._settings),
                },
            )

    async def ready(self):
        """Whether it says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(self.host, 8785)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def send(self, number):
        """Send a signal to the process that this object has started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """End the process at once."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def events(self, *names):
        """Return the lines of its log that name one of these events."""
        return [
            line
            for line in self._log.read_text(errors="replace").splitlines()
            if any(f"event={name}" in line for name in names)
        ]


# Clients


class Client:
    """A session that sends one statement after the other."""

    def __init__(self, number, daemon, database, record, pause_s, write_share):
        self._number, self._daemon = number, daemon
        self._database, self._record = database, record
        self._pause_s, self._write_share = pause_s, write_share
        self.acknowledged = []
        self.answers = {}
        self.sent_at = {}
        self.succeeded = set()

    async def run(self):
        """Send statements until cancelled; connect again after an end."""
        serial = 0
        while True:
            writer = None
            try:
                reader, writer = await asyncio.open_connection(
                    self._daemon.host, 8784
                )
                writer.write(
                    f"STARTUP {self._database} u{self._number}\r\n".encode()
                )
                line = await asyncio.wait_for(reader.readline(), 2.0)
                if not line.startswith(b"READY"):
                    raise ConnectionError(line)
                while True:
                    await asyncio.sleep(
                        random.uniform(0.5, 1.5) * self._pause_s
                    )
                    serial += 1
                    await self._one(reader, writer, f"c{self._number}n{serial}")
            except (OSError, TimeoutError, ConnectionError):
                await asyncio.sleep(0.1)
            finally:
                if writer is not None:
                    writer.close()

    async def _one(self, reader, writer, name):
        writes = random.random() < self._write_share
        text = f"WRITE 1a4 d{name}" if writes else "READ 1a4"
        writer.write(f"QUERY {name} {text}\r\n".encode())
        self.sent_at[name] = time.monotonic()
        self._record("sent", id=name, to=self._daemon.name, text=text)
        answer = b""
        async with asyncio.timeout(4.0):
            while True:
                line = await reader.readline()
                if not line:
                    self._record("ended", id=name)
                    raise ConnectionError("closed")
                if line.startswith(b"READY"):
                    break
                answer = line
        words = answer.decode().split()
        outcome = words[0] if words[0] == "COMPLETE" else words[1]
        self._record("answered", id=name, answer=" ".join(words)[:80])
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        if outcome == "COMPLETE":
            self.succeeded.add(name)
        if writes and outcome == "COMPLETE":
            self.acknowledged.append(name)


def free_prefix():
    """Return three bytes of loopback addresses on which ports are free."""
    for attempt in range(50):
        number = (os.getpid() * 31 + attempt * 7919) % 50000
        prefix = f"127.{20 + number // 250}.{1 + number % 250}"
        try:
            for port in (8080, 8082, 8784, 8785, 9180, 7440):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.11", port))
            return prefix
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class Site:
    """A small deployment: daemons, members, the platform and clients."""

    def __init__(self, folder, policy, daemons=3):
        self.record = Record(folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        prefix = free_prefix()
        self.group = Group(self.record, prefix)
        self.store = Store(self.record)
        self.cloud = Cloud(self.record, self.group, policy)
        self._prefix = prefix
        cloud = f"{prefix}.250:8082"
        self.daemons = [
            Daemon(
                f"front-{ZONES[place % 3]}-{1 + place // 3}",
                ZONES[place % 3],
                f"{prefix}.{11 + place}",
                f"{prefix}.{150 + place}:8083",
                cloud,
                self.folder,
            )
            for place in range(daemons)
        ]
        self.clients = []
        self._tasks = []

    def spawn(self, work):
        """Run a coroutine until the end of the case."""
        self._tasks.append(asyncio.create_task(work))

    async def start(self, per_daemon=4, pause_s=0.04):
        """Start everything; wait until the daemons are ready and serve."""
        self.store.put("op/config", json.dumps(manifest()).encode())
        for each in self.group.members:
            await each.start()
        for place, each in enumerate(self.daemons):
            await self.store.listen(
                f"{self._prefix}.{150 + place}", 8083, each.name
            )
        await self.cloud.listen(f"{self._prefix}.250", 8082)
        self.spawn(self.group.beat(self.store))
        for each in self.daemons:
            await each.start("true")
        until = time.monotonic() + 30
        while not all([await each.ready() for each in self.daemons]):
            if time.monotonic() > until:
                raise RuntimeError("the daemons are not ready after 30 s")
            await asyncio.sleep(0.2)
        databases = (PRIMARY_DB, PRIMARY_DB, SESSION_DB, BOUNDED_DB)
        for place in range(per_daemon * len(self.daemons)):
            database = databases[place // len(self.daemons) % 4]
            share = 0.0 if database == BOUNDED_DB else 0.4
            client = Client(
                place,
                self.daemons[place % len(self.daemons)],
                database,
                self.record,
                pause_s,
                share,
            )
            self.clients.append(client)
            self.spawn(client.run())
        self.record("traffic_begins", clients=len(self.clients))

    async def stop(self):
        """End all processes and tasks."""
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*(each.kill() for each in self.daemons))
        for each in self.daemons:
            for line in each.events("promotion", "replicas", "member_dropped"):
                self.record("log", daemon=each.name, line=line)
        shutil.rmtree(self.folder, ignore_errors=True)

    def client_acknowledged(self):
        """Return the writes that clients were told to be done."""
        return [
            name for each in self.clients for name in each.acknowledged
        ]


def main(folder, policy, play, daemons=3):
    """Run a case; exit with 1 if the rule was broken, 0 if not, else 2.

    ``play`` is called with the site and whether there is trouble, and returns
    the violations as texts.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder, lambda number: policy(number, trouble), daemons)
        try:
            await site.start()
            return site, await play(site, trouble)
        finally:
            await site.stop()

    async def run_in_time():
        async with asyncio.timeout(110):
            return await run()

    try:
        site, violations = asyncio.run(run_in_time())
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    totals = {}
    for each in site.clients:
        for outcome, count in each.answers.items():
            totals[outcome] = totals.get(outcome, 0) + count
    site.record("answers", **totals)
    print(f"trouble={trouble} answers={totals}")
    if not totals.get("COMPLETE"):
        print("could not run: nothing was served")
        sys.exit(2)
    for each in violations:
        site.record("BROKEN", text=each)
        print(f"BROKEN {each}")
    print("broken" if violations else "held")
    sys.exit(1 if violations else 0)
