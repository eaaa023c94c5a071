"""When a daemon may act as the executor of a member.

Explanation
===========

The executor of a member is computed from the list of daemons, which can
differ between daemons for a short time.  So the chosen daemon first asks all
daemons that may have acted before it.  It acts once each of them has released
the member or has been silent for ``TAKEOVER_AFTER_S``.  The store is not
involved.

"""

import collections
from typing import Callable
from typing import Iterable
from typing import Sequence

import msgspec

from burdockcart import ids
from burdockcart.process import daemon_list
from burdockcart.process import executors
from burdockcart.process import membership
from burdockcart.process import peer_messages
from burdockcart.version import rows

#: Seconds of silence after which a daemon counts as no longer acting.
TAKEOVER_AFTER_S = 1.8
ASK_INTERVAL_S = 0.1
#: Number of top-ranked daemons that are asked, in the member's failure domain
#: and in the whole fleet.  If more daemons joined at once and ranked between
#: the old and the new executor, the old one would not be asked.
ASK_RANKED = 8

_Asked = dict[ids.DaemonId, float]


class _Claim(msgspec.Struct):
    member: rows.Member
    serial: int
    since: float
    released: set[ids.DaemonId]
    asked_at: _Asked
    candidates: list[daemon_list.DaemonEntry] = []
    version: int = -1


class ExecutorRights:
    """The members that this daemon acts for, or claims.

    Parameters
    ==========

    daemons : DaemonList
        The other daemons.

    """

    def __init__(
        self,
        own: executors.Daemon,
        daemons: daemon_list.DaemonList,
        now: float,
    ):
        self._own = own
        self._daemons = daemons
        self._serial = 1
        self._claim_by_member: dict[ids.MemberId, _Claim] = {}
        self._waiting: dict[ids.MemberId, tuple[ids.DaemonId, int]] = {}
        self._granted_to: dict[ids.MemberId, ids.DaemonId] = {}
        self._last_seen_at: dict[ids.DaemonId, float] = {}
        self.held: set[ids.MemberId] = set()
        # A daemon that knows no others would choose itself for all members.
        self._earliest = now + TAKEOVER_AFTER_S

    def note_peers_known(self) -> None:
        """Record that the other daemons are known."""
        self._earliest = float("-inf")

    def claim(self, members: Iterable[rows.Member], now: float) -> None:
        """Claim exactly these members.

        A held member that is no longer claimed stays held until
        :meth:`release`, because statements may still run on it.
        """
        wanted = {member.id: member for member in members}
        for removed in set(self._claim_by_member) - set(wanted):
            del self._claim_by_member[removed]
        self._serial += 1
        for member_id in wanted:
            if member_id in self.held or member_id in self._claim_by_member:
                continue
            self._claim_by_member[member_id] = _Claim(
                wanted[member_id], self._serial, now, set(), {}
            )

    def reset(self, now: float) -> None:
        """Drop all rights after a stall and restart the claims."""
        self._serial += 1
        self.held.clear()
        for claim in self._claim_by_member.values():
            claim.serial, claim.since = self._serial, now
            claim.released.clear()
            claim.asked_at.clear()

    def record_message(self, daemon: ids.DaemonId, now: float) -> None:
        """Record a message that came directly from a daemon."""
        self._last_seen_at[daemon] = now

    def tick(self, now: float) -> tuple[bool, list[membership.Send]]:
        """Return whether rights were gained, and the requests to send."""
        requests: dict[ids.DaemonId, list[ids.MemberId]] = (
            collections.defaultdict(list)
        )
        gained = False
        if now < self._earliest:
            return False, []
        for member_id, claim in list(self._claim_by_member.items()):
            pending = [
                entry.daemon.id
                for entry in self._candidates(claim)
                if not self._takeover_allowed(claim, entry, now)
            ]
            if not pending:
                del self._claim_by_member[member_id]
                self.held.add(member_id)
                gained = True
            for daemon in pending:
                asked_at = claim.asked_at.get(daemon, float("-inf"))
                if now - asked_at >= ASK_INTERVAL_S:
                    claim.asked_at[daemon] = now
                    requests[daemon].append(member_id)
        return gained, [
            self._send(daemon, peer_messages.ReleaseExecutor, names)
            for daemon, names in requests.items()
        ]

    def on_release_request(
        self, sender: ids.DaemonId, asked: peer_messages.ReleaseExecutor
    ) -> tuple[ids.MemberId, ...]:
        """Return the members that the sender may take over."""
        released = []
        for member_id in asked.members:
            claim = self._claim_by_member.get(member_id)
            if member_id in self.held:
                self._waiting[member_id] = (sender, asked.serial)
                continue
            if claim is not None and not self._defers_to(claim, sender):
                continue
            self._granted_to[member_id] = sender
            released.append(member_id)
        return tuple(released)

    def on_released(
        self,
        sender: ids.DaemonId,
        answer: peer_messages.ExecutorReleased,
    ) -> None:
        """Handle a daemon's answer that it does not act for members."""
        for member_id in answer.members:
            claim = self._claim_by_member.get(member_id)
            if claim is not None and answer.serial >= claim.serial:
                claim.released.add(sender)

    def release(self, member: ids.MemberId) -> list[membership.Send]:
        """Stop acting for a member and notify the daemon that waits for it."""
        self.held.discard(member)
        waiting = self._waiting.pop(member, None)
        if waiting is None:
            return []
        sender, serial = waiting
        self._granted_to[member] = sender
        body = peer_messages.ExecutorReleased((member,), serial)
        entry = self._daemons.entry_by_id.get(sender)
        return [membership.Send(entry.daemon, body)] if entry else []

    def _send(
        self,
        daemon: ids.DaemonId,
        kind: Callable[[tuple[ids.MemberId, ...], int], peer_messages.Message],
        members: Sequence[ids.MemberId],
    ) -> membership.Send:
        entry = self._daemons.entry_by_id[daemon]
        body = kind(tuple(members), self._serial)
        return membership.Send(entry.daemon, body)

    def _defers_to(self, claim: _Claim, sender: ids.DaemonId) -> bool:
        """Return whether another daemon's claim to a member takes priority.

        If it does, this daemon restarts its own claim.

        """
        entry = self._daemons.entry_by_id.get(sender)
        if entry is None:
            return False
        claimants = [self._own, entry.daemon]
        if executors.executor_of(claim.member, claimants) is self._own:
            return False
        claim.released.discard(sender)
        claim.serial = self._serial = self._serial + 1
        return True

    def _candidates(self, claim: _Claim) -> list[daemon_list.DaemonEntry]:
        """Return the daemons that may still act for the member."""
        if claim.version == self._daemons.version:
            return claim.candidates
        member = claim.member
        possible = [
            entry.daemon
            for entry in self._daemons
            if entry.state is not daemon_list.State.DEAD
        ]
        ranked = executors.ranked(member.id, possible)
        local = [each for each in ranked if each.domain == member.domain]
        chosen = {each.id for each in ranked[:ASK_RANKED] + local[:ASK_RANKED]}
        granted = self._granted_to.get(member.id)
        if granted is not None and granted in self._daemons.entry_by_id:
            chosen.add(granted)
        claim.version = self._daemons.version
        # A fixed order keeps runs with the same seed identical.
        claim.candidates = [
            self._daemons.entry_by_id[each] for each in sorted(chosen)
        ]
        return claim.candidates

    def _takeover_allowed(
        self, claim: _Claim, entry: daemon_list.DaemonEntry, now: float
    ) -> bool:
        if entry.daemon.id in claim.released:
            return True
        if not entry.reachable:
            return now - entry.last_seen_at >= TAKEOVER_AFTER_S
        # A daemon may be reachable for others but not for this one.  Without
        # a time limit the member would then have no executor at all.
        last_seen_at = self._last_seen_at.get(entry.daemon.id, claim.since)
        return now - max(last_seen_at, claim.since) >= TAKEOVER_AFTER_S
