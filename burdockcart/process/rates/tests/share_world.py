"""Daemons, a store and the messages between them, without I/O.

The decision modules of :mod:`burdockcart.process.rates` act on it; a test
chooses the order of all steps, and which messages are lost.
"""

import dataclasses
import itertools
import math
from typing import Any

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.process.rates import division
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import shard_keeper
from burdockcart.process.rates import shard_ownership
from burdockcart.process.rates import shard_succession
from burdockcart.process.rates import shard_transfer
from burdockcart.process.rates import share_ledger
from burdockcart.process.rates import share_terms

ACCOUNT = ids.AccountName("a")
SHARD = share_terms.shard_of(ACCOUNT)
#: Time in which a manifest is in force, in seconds.
APPLY_S = 5.0


class Store:
    """One key under a lease; it may go back to a copy without the key."""

    def __init__(self):
        self.era = 0
        self.revision = 0
        self.key = None
        self.lease_ends_at = {}

    def holder(self, now):
        if self.key is not None:
            daemon, lease, _ = self.key
            if self.lease_ends_at.get(lease, 0.0) <= now:
                self.key = None
        return self.key

    def acquire(self, daemon, now, expected=None):
        """Return lease and position, or None if there is another key."""
        self.revision += 1
        lease = coordination.Lease(self.era, self.revision)
        self.lease_ends_at[lease] = now + share_terms.LEASE_S
        found = self.holder(now)
        if (found and found[2]) != expected:
            return None
        self.revision += 1
        position = store_era.position(self.era, self.revision)
        self.key = daemon, lease, position
        return lease, position

    def renew(self, lease, now):
        if lease.era != self.era or self.lease_ends_at.get(lease, 0) <= now:
            return False
        self.lease_ends_at[lease] = now + share_terms.LEASE_S
        return True

    def restore(self):
        self.era += 1
        self.key = None


class Daemon:
    """The decisions of one daemon process."""

    def __init__(self, name, instance, now, limit):
        self.name = name
        self.holder = share_terms.Holder((name, instance))
        self.local = local_shares.LocalShares()
        self.ownership = shard_ownership.ShardOwnership(name)
        self.succession = shard_succession.ShardSuccession(name, now)
        self.ledger = None
        self.limit = limit
        self.era = None
        self.pending = None
        self.owner_heard = None
        self.local.share(ACCOUNT, now)

    def era_seen(self, era, now):
        if era != self.era:
            self.era = era
            # No store has been restored before its first era.
            self.ownership.era_seen(now, era > 0)


@dataclasses.dataclass
class World:
    """All processes; each method is one step of one of them."""

    count: int
    limit: share_ledger.Limit
    now: float = 100.0

    def __post_init__(self):
        self.store = Store()
        self.instances = itertools.count(1)
        self.daemons = [self._new(n) for n in range(self.count)]
        #: Messages: who handles it, kind and content.
        self.messages: list[tuple[Daemon, str, Any]] = []
        self.spent = []
        #: Keys that daemons have taken from former processes.
        self.successions = 0
        #: Limits that some daemon may have used, from when on.
        self.limits = [(self.now, self.limit)]
        #: Since when all daemons know the newest limit.
        self.agreed_since = self.now

    def _new(self, index):
        return Daemon(
            ids.DaemonId(f"d{index}"),
            next(self.instances),
            self.now,
            self.limit,
        )

    def restart(self, index):
        """Replace a process; what it has sent stays on the way."""
        self.daemons[index] = self._new(index)

    def set_limit(self, limit):
        """Write a manifest that no daemon has read."""
        self.limit = limit
        self.limits.append((self.now, limit))
        self.agreed_since = None

    def read_limit(self, index):
        """Let a daemon read the manifest."""
        daemon = self.daemons[index]
        daemon.limit = self.limit
        agreed = all(each.limit == self.limit for each in self.daemons)
        if agreed and self.agreed_since is None:
            self.agreed_since = self.now
        if daemon.ledger is not None:
            daemon.ledger.use_limits({ACCOUNT: daemon.limit}, self.now)

    def offer(self, index, count):
        """Let clients of a daemon begin operations; return how many may."""
        share = self.daemons[index].local.share(ACCOUNT, self.now)
        admitted = 0
        share.waiting = 0
        for _ in range(count):
            share.offered(self.now)
            if share.spend(self.now):
                admitted += 1
                self.spent.append(self.now)
            else:
                share.waiting += 1
        return admitted

    # Ownership

    def acquire(self, index):
        daemon = self.daemons[index]
        daemon.ownership.asked(self.now, 0.0)
        if daemon.ownership.attempting(self.now):
            request = self.now, None, -math.inf
            self._ask_for_key(daemon, request)

    def succeed(self, index):
        """Let a daemon read the key, and replace one that it has left."""
        daemon, key = self.daemons[index], self.store.holder(self.now)
        if key is None or daemon.ownership.own is not None:
            return
        daemon.succession.found(key[2], key[0])
        if daemon.succession.position is not None:
            request = self.now, daemon.succession.position, -math.inf
            self._ask_for_key(daemon, request)

    def _ask_for_key(self, daemon, request):
        succeeds = request[1] is not None and (
            request[1] == daemon.succession.position
        )
        daemon.succession.write_sent()
        self.messages.append((daemon, "acquire", (*request, succeeds)))

    def transfer(self, index, target):
        """Let an owner step down, and offer its shard to another daemon."""
        daemon, own = self.daemons[index], self.daemons[index].ownership.own
        if own is None or index == target:
            return
        successor = self.daemons[target]
        transfer = shard_transfer.ShardTransfer(
            SHARD, daemon.name, daemon.ownership
        )
        # As if it shut down, but for what it does later.
        daemon.ownership.leaving = True
        stepped_down = transfer.step_down(
            ids.StorePosition(own.term),
            successor.name,
            self.now,
            daemon.ledger.shares_end_at(),
        )
        daemon.ownership.leaving = False
        if stepped_down is not None:
            daemon.ledger = None
            offer = stepped_down.offer(SHARD, self.now)
            self.messages.append((successor, "take", offer))

    def renew(self, index):
        daemon = self.daemons[index]
        lease = daemon.ownership.renewing(self.now)
        if lease is not None:
            self.messages.append((daemon, "renew", (lease, self.now)))

    # Shares

    def report(self, index, target):
        """Send a report; answers to earlier ones are void."""
        daemon = self.daemons[index]
        sequence = daemon.local.next_sequence()
        demands = daemon.local.report(SHARD, self.now)
        daemon.pending = sequence
        self.messages.append(
            (
                self.daemons[target],
                "report",
                (daemon, sequence, demands, self.now),
            )
        )

    def deliver(self, position):
        """Let a message arrive."""
        target, kind, content = self.messages.pop(position)
        getattr(self, "_on_" + kind)(target, content)

    def lose(self, position):
        """Drop a message."""
        self.messages.pop(position)

    def _on_take(self, daemon, offer):
        if daemon.ownership.own is None:
            shares_end_at = self.now + offer.shares_end_ms / 1000
            self._ask_for_key(
                daemon, (self.now, offer.position, shares_end_at)
            )

    def _on_acquire(self, daemon, request):
        sent_at, expected, shares_end_at, succeeds = request
        answer = self.store.acquire(daemon.name, self.now, expected)
        content = answer, self.store.era, sent_at, shares_end_at, succeeds
        self.messages.append((daemon, "acquired", content))

    def _on_acquired(self, daemon, content):
        answer, era, sent_at, shares_end_at, succeeds = content
        if daemon.era is not None and era < daemon.era:
            return
        daemon.era_seen(era, self.now)
        if answer is None:
            daemon.ownership.refused(self.now, True)
            daemon.succession.not_written()
            return
        lease, position = answer
        daemon.ownership.acquired(lease, position, sent_at)
        renews_from, grants_from = daemon.ownership.grant_times(
            self.now, shares_end_at
        )
        if succeeds:
            grants_from = max(grants_from, daemon.succession.shares_end_at)
            self.successions += 1
        daemon.ledger = share_ledger.ShareLedger(
            share_terms.Term(position),
            renews_from,
            grants_from,
            self._undivided(),
        )
        daemon.ledger.use_limits({ACCOUNT: daemon.limit}, self.now)

    def _undivided(self):
        """Return the account if no daemon can hold a share of it."""
        steady_s = shard_keeper.STEADY_S - APPLY_S
        agreed = (
            self.agreed_since is not None
            and self.now - self.agreed_since >= steady_s
        )
        if agreed and not division.is_divided(self.limit.burst):
            return [ACCOUNT]
        return []

    def _on_renew(self, daemon, content):
        lease, sent_at = content
        done = self.store.renew(lease, self.now)
        self.messages.append(
            (daemon, "renewed", (lease, done, sent_at, self.store.era))
        )

    def _on_renewed(self, daemon, content):
        lease, done, sent_at, era = content
        if daemon.era is not None and era < daemon.era:
            return
        daemon.era_seen(era, self.now)
        if done and era == lease.era:
            daemon.ownership.renewed(lease, sent_at)
        elif daemon.ownership.own and daemon.ownership.own.lease == lease:
            daemon.ownership.lose(self.now)
            daemon.ledger = None

    def _on_report(self, owner, content):
        daemon, sequence, demands, sent_at = content
        if not owner.ownership.owns(self.now):
            return
        own = owner.ownership.own
        ends_at = own.authority_until + share_terms.GRACE_S
        shares = owner.ledger.answer(
            daemon.holder, sequence, demands, ends_at, self.now
        )
        if shares is not None:
            valid_ms = int(1000 * (ends_at - self.now))
            self.messages.append(
                (
                    daemon,
                    "shares",
                    (sequence, shares, own.term, sent_at, valid_ms),
                )
            )

    def _on_shares(self, daemon, content):
        sequence, shares, term, sent_at, valid_ms = content
        if daemon.pending == sequence:
            daemon.pending = None
            daemon.local.apply(
                SHARD, shares, term, sent_at, valid_ms, self.now
            )
            share = daemon.local.share(ACCOUNT, self.now)
            while share.waiting and share.spend(self.now):
                share.waiting -= 1
                self.spent.append(self.now)

    # The bound

    def allowed(self, since, until):
        """Return what may be spent from one time to another.

        A lowered limit takes effect when older shares have expired, at the
        latest.
        """
        ends = [*(since_at for since_at, _ in self.limits[1:]), math.inf]
        in_force = [
            limit
            for (began_at, limit), ended_at in zip(self.limits, ends)
            if began_at <= until and ended_at + self.settled_s > since
        ]
        rate = max(each.rate for each in in_force)
        burst = max(each.burst for each in in_force)
        return rate * (until - since) + burst

    #: Time after which a written limit counts, in the tests that let daemons
    #: read it in time; those that do not use infinity.
    settled_s: float = math.inf

    def check_shares(self):
        """Raise an error if shares and pools sum to more than the limit.

        A fault shows here before clients happen to use it.  At most one
        daemon may have authority; after a restore of the store the next one
        waits until that of the former one has ended.
        """
        owners = [
            each.name for each in self.daemons if each.ownership.owns(self.now)
        ]
        assert len(owners) <= 1 or self.store.era > 0, f"owners {owners}"
        shares = [each.local.share(ACCOUNT, self.now) for each in self.daemons]
        # The tokens first: this is when an expired share is forgotten.
        levels = [each.level(self.now) for each in shares]
        held = [(*each.limits, level) for each, level in zip(shares, levels)]
        pools = [
            pool
            for each in self.daemons
            if each.ownership.owns(self.now)
            for pool in each.ledger.pools(self.now)
        ]
        sent = [
            share.tokens
            for daemon, kind, content in self.messages
            if kind == "shares" and daemon.pending == content[0]
            for share in content[1]
            if self.now < content[3] + (share.valid_ms or content[4]) / 1000
        ]
        parts = [*held, *pools]
        rate, burst, level = (sum(part) for part in zip(*parts, (0, 0, 0)))
        limits = [limit for _, limit in self.limits]
        allowed = max(each.rate for each in limits)
        assert rate <= allowed + 1e-6, f"rates {rate} over {allowed}"
        allowed = max(each.burst for each in limits)
        assert burst <= allowed + 1e-6, f"bursts {burst} over {allowed}"
        level += sum(sent)
        assert level <= allowed + 1e-6, f"tokens {level} over {allowed}"

    def check(self):
        """Raise an error if any window has too many operations."""
        spent = sorted(self.spent)
        for first, since in enumerate(spent):
            for last in range(first, len(spent)):
                found = last - first + 1
                if found <= self.least * (spent[last] - since):
                    continue
                allowed = self.allowed(since, spent[last])
                assert found <= allowed + 1e-6, (
                    f"{found} operations from {since} to {spent[last]}, "
                    f"{allowed} are allowed"
                )

    @property
    def least(self):
        """Rate that every limit allows."""
        return min(limit.rate for _, limit in self.limits)
