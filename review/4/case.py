"""A primary is lost for good while all daemons are without power.

See claim.txt.  With TROUBLE=0 neither happens.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import standin  # noqa: E402

DOWN_S = 5.0
RECOVERY_S = 12.0
MEASURED_S = 10.0


def policy(number, trouble):
    """Answer all calls."""
    return "now", None


def served(site, since, until):
    """Return the statements sent in a time, and those that succeeded."""
    sent = [
        name
        for each in site.clients
        for name, at in each.sent_at.items()
        if since <= at < until
    ]
    done = {name for each in site.clients for name in each.succeeded}
    return len(sent), sum(name in done for name in sent)


async def play(site, trouble):
    """Let all machines lose power, and lose the primary meanwhile."""
    group = site.group
    began_at = time.monotonic()
    await asyncio.sleep(6)
    fault_at = time.monotonic()
    if trouble:
        await asyncio.gather(*(each.kill() for each in site.daemons))
        site.record("machines_without_power", count=len(site.daemons))
        await asyncio.sleep(0.5)
        site.record("lost_for_good", member=group.primary.id)
        group.primary.crash()
        await asyncio.sleep(DOWN_S - 0.5)
        for each in site.daemons:
            await each.start("false")
    back_at = time.monotonic()
    site.record("machines_back")
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    before = served(site, began_at, fault_at)
    since = back_at + RECOVERY_S
    after = served(site, since, since + MEASURED_S - 1)
    site.record(
        "served",
        before=f"{before[1]}/{before[0]}",
        after=f"{after[1]}/{after[0]}",
        promotion_calls=site.cloud.calls,
    )
    print(f"served before {before[1]}/{before[0]}, after {after[1]}/{after[0]}")
    if before[1] * 4 < before[0] or not after[0]:
        raise RuntimeError("too little was served before the fault")
    if after[1] * 4 >= after[0]:
        return []
    return [
        f"RECOVER {after[1]} of {after[0]} requests were served later than "
        f"{RECOVERY_S:.0f} s after the machines were back"
    ]


if __name__ == "__main__":
    standin.main(pathlib.Path(__file__).resolve().parent, policy, play)
