"""Daemons that are listed in a store, restarted, and asked what they hold."""

from burdockcart.process.gateway.store import registration_time
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import local_shares
from burdockcart.process.rates import shard_census
from burdockcart.process.rates.tests import share_world

TTL_S = 8.0
#: Messages that the store handles, also those of processes that have ended.
TO_STORE = ("acquire", "renew", "register", "extend")


class Clock:
    """The boot clock of all daemons."""

    def __init__(self, world):
        self._world = world

    def now(self):
        """Return the time in seconds."""
        return self._world.now


class World(share_world.World):
    """Adds the list of daemons and the census to the world of shares."""

    def __post_init__(self):
        #: Lease of each listed daemon, and when it ends.
        self.listed = {}
        self.leases = 0
        self.censuses = 0
        super().__post_init__()

    def _new(self, index):
        daemon = super()._new(index)
        daemon.times = registration_time.RegistrationTime(Clock(self), TTL_S)
        daemon.local = local_shares.LocalShares(
            lambda sent_at, now: daemon.times.covers(sent_at, now)
        )
        daemon.local.share(share_world.ACCOUNT, self.now)
        daemon.lease = daemon.census = None
        daemon.census_from = float("inf")
        return daemon

    def restart_all(self):
        """Replace all processes at once."""
        for index in range(self.count):
            self.restart(index)

    def deliver(self, position):
        """Let a message arrive, unless its receiver has ended."""
        target, kind, _ = self.messages[position]
        if kind not in TO_STORE and target not in self.daemons:
            self.lose(position)
        else:
            super().deliver(position)

    # The list of daemons

    def register(self, index):
        """Register a daemon, or renew its registration."""
        daemon = self.daemons[index]
        kind = "register" if daemon.lease is None else "extend"
        self.messages.append((daemon, kind, (daemon.lease, self.now)))

    def unregister(self, index):
        """Let a daemon leave the list, as when it drains."""
        daemon = self.daemons[index]
        daemon.times.ended()
        daemon.lease = None
        self.listed.pop(daemon.name, None)

    def _on_register(self, daemon, content):
        self.leases += 1
        self.listed[daemon.name] = self.leases, self.now + TTL_S
        answer = self.leases, content[1]
        self.messages.append((daemon, "registered", answer))

    def _on_registered(self, daemon, content):
        daemon.lease, sent_at = content
        daemon.times.registered(0, sent_at)

    def _on_extend(self, daemon, content):
        lease, sent_at = content
        known, ends_at = self.listed.get(daemon.name, (None, 0.0))
        done = known == lease and self.now < ends_at
        if done:
            self.listed[daemon.name] = lease, self.now + TTL_S
        self.messages.append((daemon, "extended", (lease, sent_at, done)))

    def _on_extended(self, daemon, content):
        lease, sent_at, done = content
        if lease != daemon.lease:
            return
        if done:
            daemon.times.renewed(0, sent_at)
        else:
            daemon.times.ended()
            daemon.lease = None

    # The census

    def _on_acquired(self, daemon, content):
        super()._on_acquired(daemon, content)
        own, transferred = daemon.ownership.own, content[3] > 0
        daemon.census, daemon.census_from = None, float("inf")
        if own is not None and content[0] is not None and not transferred:
            daemon.census_from = self.now + shard_census.UNLISTED_S

    def read_list(self, index):
        """Let an owner read the list of daemons, and ask all of them."""
        daemon = self.daemons[index]
        own = daemon.ownership.own
        if own is None or daemon.census_from == float("inf"):
            return
        names = [
            name
            for name, (_, ends_at) in self.listed.items()
            if self.now < ends_at
        ]
        if daemon.census is None or daemon.census[0] != own.term:
            census = shard_census.ShardCensus(names)
            daemon.census = own.term, census
        for name in daemon.census[1].missing:
            target = next(each for each in self.daemons if each.name == name)
            self.messages.append((target, "census", (daemon, own.term)))

    def _on_census(self, daemon, content):
        asker, position = content
        held = daemon.local.held(share_world.SHARD, position, self.now)
        answer = census_terms.Held(daemon.holder[1], held)
        self.messages.append((asker, "held", (position, daemon.name, answer)))

    def _on_held(self, daemon, content):
        position, name, answer = content
        if daemon.census is not None and daemon.census[0] == position:
            daemon.census[1].answered(name, answer)

    def use_census(self, index):
        """Let an owner grant what nobody holds, if all have answered."""
        daemon = self.daemons[index]
        own, census = daemon.ownership.own, daemon.census
        if own is None or census is None or own.term != census[0]:
            return
        if not daemon.ownership.owns(self.now) or census[1].missing:
            return
        if daemon.census_from <= self.now < daemon.ledger.grants_from:
            if census[1].possible:
                daemon.ledger.use_census(census[1].accounts(), self.now)
                self.censuses += 1
                daemon.census_from = float("inf")
