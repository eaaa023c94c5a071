"""Share of the reads that replicas serve, and reads of older values."""

import asyncio
import bisect
import dataclasses
import itertools
import pathlib
import random
from typing import Any

from burdockcart.emulator import deployment
from burdockcart.measure import bench
from burdockcart.measure import line
from burdockcart.measure import report

WORK_MS = 4.0
RUN_S = 5.0
SESSIONS = 40
PAUSE_S = (0.0, 0.2)
WRITE_SHARE = 0.3
SHARE_BOUND = 0.95
#: Lag of one replica of each group, beyond the age of half of the reads.
LAG_MS = 1500.0
MAX_AGE_S = {"read": 5.0, "fresh": 0.5}
DEADLINE_S = 2.0


@dataclasses.dataclass
class Read:
    """One read: when it was sent, what it had to see and who served it."""

    sent_at: float
    ended_at: float
    group: str
    kind: str
    position: int
    status: int
    role: str = ""
    served_position: int = 0
    age_ms: float = 0.0
    missed_write: bool = False


class Session:
    """A caller's session that roams over the daemons with its own keys."""

    def __init__(self, running: bench.Bench, number: int, seed: int):
        self._running = running
        self._name = f"s{number}"
        self._random = random.Random(f"{seed}/{number}")
        self._token: str | None = None
        self._value_by_group: dict[str, int] = {}
        self._position_by_group: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self.reads: list[Read] = []

    async def run(self, until: float) -> None:
        """Write and read until a time of the loop."""
        loop = asyncio.get_running_loop()
        groups = self._running.running.files.deployment.groups
        while loop.time() < until:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            group = self._random.choice(groups)
            if self._random.random() < WRITE_SHARE:
                await self._write(group)
            else:
                await self._read(group)

    async def _send(
        self, kind: str, group: str, value: int
    ) -> tuple[int, dict[str, Any]]:
        writer, reader = self._running.callers()
        write = kind == "write"
        body = {
            "request_id": f"{self._name}-{next(self._numbers)}",
            "kind": kind,
            "operation": "write" if write else "read",
            "statement": {
                "op": "put" if write else "get",
                "key": self._name,
                "value": value,
            },
            "database": group,
            "session": self._token,
        }
        status, answer = await self._running.caller.send(
            self._random.choice(self._running.daemons),
            writer if write else reader,
            body,
            DEADLINE_S,
        )
        if status == 200:
            self._token = answer["session"]
        return status, answer

    async def _write(self, group: str) -> None:
        value = self._value_by_group.get(group, 0) + 1
        status, answer = await self._send("write", group, value)
        if status == 200:
            self._value_by_group[group] = value
            self._position_by_group[group] = answer["served_by"]["position"]

    async def _read(self, group: str) -> None:
        loop = asyncio.get_running_loop()
        kind = self._random.choice(sorted(MAX_AGE_S))
        sent_at = loop.time()
        status, answer = await self._send(kind, group, 0)
        known = self._position_by_group.get(group, 0)
        read = Read(sent_at, loop.time(), group, kind, known, status)
        if status == 200:
            served = answer["served_by"]
            read.role, read.served_position = (
                served["role"],
                served["position"],
            )
            read.age_ms = answer["age_ms"] or 0.0
            seen = answer["result"] or 0
            read.missed_write = seen < self._value_by_group.get(group, 0)
            self._position_by_group[group] = max(known, served["position"])
        self.reads.append(read)


class ReplicaHistory:
    """What the members of a group held at which time.

    Taken from the records of the emulated members, whose clock is the
    monotonic clock of this machine, as the clock of this process is.
    """

    def __init__(self, records: list[dict[str, Any]]):
        self._written_at = sorted(
            (row["position"], row["at"])
            for record in records
            for row in record["record"]
            if row["write"] and row["role"] == "primary"
        )
        self._reached = [
            [(at, position) for at, position in record["reached"]]
            for record in records
            if record["reached"]
        ]

    def age_s(self, position: int, now: float) -> float:
        """Return how long ago the first write after a position was made."""
        index = bisect.bisect_right(self._written_at, (position, float("inf")))
        if index == len(self._written_at):
            return 0.0
        return max(now - self._written_at[index][1], 0.0)

    def allows(self, read: Read) -> bool:
        """Return whether some replica could serve a read when it was sent."""
        for reached in self._reached:
            index = bisect.bisect_right(reached, (read.sent_at, 2**62)) - 1
            position = reached[index][1] if index >= 0 else 0
            young = self.age_s(position, read.sent_at) <= MAX_AGE_S[read.kind]
            if position >= read.position and young:
                return True
        return False


async def _run(
    chosen: deployment.Deployment, seed: int
) -> tuple[list[Read], dict[str, ReplicaHistory]]:
    async with bench.start(chosen, WORK_MS) as running:
        each = running.running.files.deployment
        for number, group in enumerate(each.groups):
            slow = each.domains[(number + 1) % len(each.domains)]
            await running.fault(group, slow, lag_ms=LAG_MS)
        sessions = [
            Session(running, number, seed) for number in range(SESSIONS)
        ]
        until = asyncio.get_running_loop().time() + RUN_S
        await asyncio.gather(*(session.run(until) for session in sessions))
        truth = {
            group: ReplicaHistory(
                [
                    await running.record(group, domain)
                    for domain in each.domains
                ]
            )
            for group in each.groups
        }
    reads = [read for session in sessions for read in session.reads]
    return reads, truth


def measure(
    chosen: deployment.Deployment, seed: int, folder: pathlib.Path
) -> list[line.Line]:
    """Return ``replica_read_share`` and ``read_your_writes_violations``."""
    reads, truth = asyncio.run(_run(chosen, seed))
    answered = [read for read in reads if read.status == 200]
    allowed = [read for read in reads if truth[read.group].allows(read)]
    by_replica = sum(read.role == "replica" for read in allowed)
    share = by_replica / max(len(allowed), 1)
    too_old = sum(_is_too_old(read, truth) for read in answered)
    _plot(folder, chosen.name, answered)
    missed = sum(read.missed_write for read in answered)
    extra: dict[str, object] = {
        "allowed": len(allowed),
        "reads": len(reads),
        "failed": len(reads) - len(answered),
        "too_old": too_old,
    }
    return [
        line.Line(
            "replica_read_share",
            chosen.name,
            share,
            SHARE_BOUND,
            share >= SHARE_BOUND and len(allowed) > 0,
            seed,
            extra=extra,
        ),
        line.Line(
            "read_your_writes_violations",
            chosen.name,
            missed,
            0,
            missed == 0 and len(answered) > 0,
            seed,
            extra={"answered": len(answered)},
        ),
    ]


def _plot(folder: pathlib.Path, name: str, answered: list[Read]) -> None:
    start = min((read.ended_at for read in answered), default=0.0)
    report.series(
        folder,
        f"reads-{name}",
        f"age of replica reads in ms, {name}",
        {
            kind: [
                (read.ended_at - start, read.age_ms)
                for read in answered
                if read.kind == kind and read.role == "replica"
            ]
            for kind in MAX_AGE_S
        },
    )


def _is_too_old(read: Read, truth: dict[str, ReplicaHistory]) -> bool:
    age_s = truth[read.group].age_s(read.served_position, read.ended_at)
    return age_s > MAX_AGE_S[read.kind]
