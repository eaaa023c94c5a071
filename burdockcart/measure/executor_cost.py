"""Cost of a member at its executor: probes, reports and memory.

Explanation
===========

Probes an emulated member, which runs in a process of its own, over a real
socket.  The result does not depend on the deployment.
"""

import asyncio
import gc
import pathlib
import subprocess
import tempfile
import time
import tracemalloc
from typing import Any
from typing import Callable

import msgspec

from burdockcart import clock
from burdockcart.connection import target_connection
from burdockcart.emulator import deployment as deployments
from burdockcart.emulator import processes
from burdockcart import ids
from burdockcart.measure import line
from burdockcart.measure import slopes
from burdockcart.process import group_view
from burdockcart.process import member_executor
from burdockcart.process import peer_messages
from burdockcart.version import rows

PROBES = 400
START_POLLS = 100
START_POLL_S = 0.05
MEMBER = "group-000000-a"
MESSAGES = 2000
OBJECTS = 500
MEMBERS_PER_GROUP = 3
IP = "127.0.0.1"
#: Bytes of a probe that its bodies do not count: the request with its
#: headers, and the status line and headers of the answer.
HTTP_HEADER_BYTES = 290
CORE_PERCENT_BOUND = 3.1
#: 40,000 databases with 3 members before 4,800 daemons.
MEMBERS_PER_DAEMON = 25
#: 9 members before 4 daemons.
MEMBERS_TODAY = 3


def _state(number: int) -> peer_messages.MemberState:
    return peer_messages.MemberState(
        member=ids.MemberId(f"group-{number:06d}-a"),
        term=ids.Term(3),
        role=peer_messages.REPLICA,
        position=ids.Position(10**9),
        log_term=ids.Term(3),
        history=((ids.Term(1), ids.Position(0)),),
    )


def _group(number: int) -> rows.Group:
    return rows.Group(
        ids.GroupId(f"group-{number:06d}"),
        tuple(
            rows.Member(
                ids.MemberId(f"group-{number:06d}-{name}"),
                ids.DomainName(f"domain-{name}"),
                f"{IP}:{20000 + number}",
            )
            for name in "abc"
        ),
    )


async def _probe_s(port: int) -> tuple[float, int]:
    """Return the processor time and the body bytes of a probe."""
    pool = rows.Pool(
        name=ids.PoolName("p"),
        groups=(),
        slots_per_member=2,
        connections_per_member=16,
    )
    executor = member_executor.MemberExecutor(
        rows.Member(
            ids.MemberId(MEMBER),
            ids.DomainName("domain-a"),
            f"{IP}:{port}",
        ),
        pool,
        target_connection.HttpConnector(IP),
        clock.LoopClock(),
    )
    try:
        await _wait(executor)
        started = time.process_time()
        answers = [await executor.probe() for _ in range(PROBES)]
        spent = (time.process_time() - started) / PROBES
        if None in answers:
            raise RuntimeError("a probe of the emulated member failed")
    finally:
        executor.close()
    return spent, len(msgspec.json.encode(answers[0]))


async def _wait(executor: member_executor.MemberExecutor) -> None:
    for _ in range(START_POLLS):
        if await executor.probe() is not None:
            return
        await asyncio.sleep(START_POLL_S)
    raise RuntimeError("the emulated member did not start")


def _probe_against_process(port: int) -> tuple[float, int]:
    with tempfile.TemporaryDirectory() as folder:
        config = pathlib.Path(folder) / "member.ini"
        config.write_text(
            f"[target {MEMBER}]\naddress = {IP}\nport = {port}\n"
            "primary = yes\n",
            encoding="utf-8",
        )
        member = subprocess.Popen(
            [*processes.program(), "emulate", str(config)]
        )
        try:
            return asyncio.run(_probe_s(port))
        finally:
            member.terminate()
            member.wait()


def _per_call_s(call: Callable[[], Any]) -> float:
    started = time.process_time()
    for _ in range(MESSAGES):
        call()
    return (time.process_time() - started) / MESSAGES


def _report_costs() -> dict[str, float]:
    """Return the cost of a report with the members of one daemon."""
    states = [_state(number) for number in range(MEMBERS_PER_DAEMON)]
    encoder = msgspec.msgpack.Encoder()
    decoder = msgspec.msgpack.Decoder(peer_messages.Envelope)

    def encode() -> bytes:
        sights = tuple(
            peer_messages.ReportedState.of(each, 0.1) for each in states
        )
        report = peer_messages.MemberReport(sights)
        envelope = peer_messages.Envelope(
            ids.DaemonId("domain-1-daemon-123"), 0, False, report
        )
        return encoder.encode(envelope)

    data = encode()
    return {
        "report_bytes": len(data),
        "report_encode_s": _per_call_s(encode),
        "report_decode_s": _per_call_s(lambda: decoder.decode(data)),
    }


def _kept_bytes(make: Callable[[int], Any]) -> float:
    """Return the memory of an object that ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    kept = [make(number) for number in range(OBJECTS)]
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(kept)


def _view(number: int) -> group_view.GroupView:
    view = group_view.GroupView(_group(number))
    for member in view.group.members:
        view.learn(msgspec.structs.replace(_state(0), member=member.id), 1.0)
    return view


def measured(port: int) -> dict[str, float]:
    """Return all slopes; times in seconds, sizes in bytes."""
    probe_s, body_bytes = _probe_against_process(port)
    return {
        "probe_s": probe_s,
        "probe_bytes": body_bytes + HTTP_HEADER_BYTES,
        "group_view_bytes": _kept_bytes(_view),
        **_report_costs(),
    }


def measure(
    deployment: deployments.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Return the share of a core that probes take at full size."""
    if deployment.name != deployments.WEATHER.name:
        return []
    found = measured(deployment.base_port)
    slopes.write("executor", found, report)
    return [
        _line(deployment.name, found["probe_s"], members, seed)
        for members in (MEMBERS_TODAY, MEMBERS_PER_DAEMON)
    ]


def _line(name: str, probe_s: float, members: int, seed: int) -> line.Line:
    rate = members / member_executor.PROBE_INTERVAL_S
    percent = probe_s * rate * 100
    return line.Line(
        "probe_core_percent",
        name,
        percent,
        CORE_PERCENT_BOUND,
        percent <= CORE_PERCENT_BOUND,
        seed,
        extra={"members": members, "probes_per_s": f"{rate:.0f}"},
    )
