"""Faults of the network, of promotion calls and of replicas."""

import asyncio
import base64
import dataclasses
from typing import Sequence

from burdockcart.platform.standin import daemons
from burdockcart.platform.standin import site as sites
from burdockcart.platform.standin import store_server
from burdockcart.platform import store_values
from burdockcart.soak import schedule

CallFault = store_server.CallFault

#: Time that a replica which starts again is away, in seconds.
RESTART_S = 0.3
#: Interval of looking for the owner of a shard, in seconds.
OWNER_POLL_S = 0.1
#: Routes of a large manifest, and the rate of a link of 5 Mbit/s.
STORM_ROUTES = 1000
SLOW_LINK_BYTES_PER_S = 625_000.0
#: Last byte of the addresses of members that join, at least.
FIRST_JOINED = 211


async def cut_primary(site: sites.Site, daemon: str, seconds: float) -> None:
    """Let a daemon and the present primary not reach each other."""
    server = next((each for each in site.servers if each.member.leads), None)
    if server is None:
        return
    server.link.cut_off[daemon] += 1
    await asyncio.sleep(seconds)
    server.link.cut_off[daemon] -= 1


async def cut_store(site: sites.Site, daemon: str, seconds: float) -> None:
    """Let a daemon and the store not reach each other.

    Calls that it sends meanwhile arrive after the cut.
    """
    cut_off = site.store.link.cut_off
    if not any(cut_off.values()):
        site.store.link.forget_owners()
    cut_off[daemon] += 1
    await asyncio.sleep(seconds)
    cut_off[daemon] -= 1


async def manifest_storm(
    site: sites.Site, gap_s: float, seconds: float
) -> None:
    """Change a large manifest often, on slow links to the store."""
    site.store.link.rate = SLOW_LINK_BYTES_PER_S
    site.added_routes = STORM_ROUTES
    ends_at = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < ends_at:
        site.put_manifest()
        await asyncio.sleep(gap_s)


async def delay_calls(
    site: sites.Site, following: CallFault, seconds: float
) -> None:
    """Carry promotion calls out late, or only the first one."""
    store = site.store
    store.call_delay_s = seconds
    store.call_fault, store.next_call_fault = CallFault.LATE, following
    await asyncio.sleep(seconds)
    store.call_fault = CallFault.NONE


async def join_replica(site: sites.Site, seconds: float) -> None:
    """Let a replica join for some time; it stays if it is promoted."""
    new = site.new_member(site.servers[-1].member.domain)
    group = site.group
    new.group, new.term = group, group.term
    group.member_by_id[new.id] = new
    new.catch_up()
    prefix = site.store_host.rpartition(".")[0]
    taken = {each.address.partition(":")[0] for each in site.servers}
    host = next(
        host
        for place in range(FIRST_JOINED, 250)
        if (host := f"{prefix}.{place}") not in taken
    )
    server = site.serve(new, host)
    await server.start()
    site.servers.append(server)
    site.note("member_joined", member=new.id, primary=group.primary.id)
    await asyncio.sleep(seconds)
    if new.leads or group.primary is new:
        return
    site.drain(new)
    await asyncio.sleep(sites.DRAIN_S + 1.0)
    if new.leads or group.primary is new:
        return
    site.note("member_gone", member=new.id, leads=False)
    server.crash()
    site.servers.remove(server)
    del group.member_by_id[new.id]
    site.store.delete(store_values.MEMBER_PREFIX + new.id)


async def restart_replica(site: sites.Site) -> None:
    """Let a replica start again under its id, without notice."""
    server = next(
        (
            each
            for each in site.servers
            if not (each.member.leads or each.member.crashed)
        ),
        None,
    )
    if server is None or site.changing:
        return
    site.changing = True
    site.note("member_restarts", member=server.member.id)
    server.crash()
    await asyncio.sleep(RESTART_S)
    await server.restart()
    site.changing = False


async def kill_of_owner(
    site: sites.Site,
    started: Sequence[daemons.Daemon],
    fault: schedule.Fault,
) -> schedule.Fault:
    """Return the kill of the daemon whose name a shard's key holds.

    Waits until the shard has an owner.
    """
    key = f"{store_values.QUOTA_PREFIX}{fault.target}"
    while (item := site.store.item_by_key.get(key)) is None:
        await asyncio.sleep(OWNER_POLL_S)
    owner = base64.b64decode(item["value"]).decode()
    place = [each.name for each in started].index(owner)
    site.note("owner", shard=fault.target, daemon=owner)
    return dataclasses.replace(fault, kind=schedule.Kind.KILL, target=place)


async def disturb(daemon: daemons.Daemon, fault: schedule.Fault) -> None:
    """Send a daemon the signal of a fault."""
    if fault.kind is schedule.Kind.STOP:
        await daemon.terminate()
    elif fault.kind is schedule.Kind.RELOAD:
        daemon.reload()
    elif fault.kind is schedule.Kind.FREEZE:
        await daemon.freeze(fault.length_s)
    else:
        daemon.kill()
