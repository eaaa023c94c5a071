"""Daemons that have started forget that a replica has left.

See claim.txt.  With TROUBLE=0 the other replica receives all the while.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standin  # noqa: E402

#: drain-ms and a little longer.
SERVES_ON_S = 7.4
GRACE_S = 6.0
GAP_S = 1.36
DEAF_AFTER_S = 5.4
DEAF_S = 6.0
NEW_MEMBER_AFTER_S = 4.0


def policy(number, trouble):
    """Answer all calls."""
    return "now", None


async def leave(site, member):
    """Drain and end a member; later start another with its log."""
    member.state = "draining"
    site.record("draining", member=member.id)
    await asyncio.sleep(SERVES_ON_S)
    member.crash()
    site.store.delete(f"servers/{member.id}")
    site.record("left", member=member.id, log=member.received)
    site.group.members.remove(member)
    await asyncio.sleep(NEW_MEMBER_AFTER_S)
    new = standin.Member(
        site.group, "i-4a91c3", member.zone, member.host, member.link_s
    )
    primary = site.group.primary
    kept = [
        place
        for place, (own, other) in enumerate(zip(member.log, primary.log))
        if own == other
    ]
    new.log = member.log[: len(kept)]
    new.term = member.term
    await new.start()
    site.group.members.append(new)
    new.receive()
    site.record("new_member", member=new.id, log=new.received)


async def restart(site, daemon, after_s):
    """Stop a daemon as planned and start it again."""
    await asyncio.sleep(after_s)
    site.record("sigterm", daemon=daemon.name)
    daemon.send(signal.SIGTERM)
    try:
        await asyncio.wait_for(daemon.process.wait(), GRACE_S)
    except TimeoutError:
        await daemon.kill()
    site.record("ended", daemon=daemon.name)
    await asyncio.sleep(0.5)
    await daemon.start("false")
    site.record("started", daemon=daemon.name)


async def play(site, trouble):
    """Let a replica leave while the daemons are restarted in turn."""
    group = site.group
    deaf, leaving = group.replicas
    await asyncio.sleep(3)
    site.spawn(leave(site, leaving))
    for place, each in enumerate(site.daemons):
        site.spawn(restart(site, each, 2 + place * GAP_S))
    await asyncio.sleep(DEAF_AFTER_S)
    if trouble:
        deaf.deaf = True
        site.record("deaf", member=deaf.id)
    await asyncio.sleep(DEAF_S)
    deaf.deaf = False
    site.record("hears", member=deaf.id)
    deaf.receive()
    await asyncio.sleep(6)
    told = set(site.client_acknowledged())
    return [
        f"LOST {write}: acknowledged to its client, not in the log of the "
        "promoted member"
        for write in group.lost
        if write in told
    ]


if __name__ == "__main__":
    standin.main(pathlib.Path(__file__).resolve().parent, policy, play)
