"""How members are reached, as far as a connector needs to know."""

from typing import Protocol

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.request import member_evidence


class Route(Protocol):
    """Tells how members are reached."""

    def holders_of(
        self, member: ids.MemberId, account: ids.AccountName | None = None
    ) -> list[list[coordination.DaemonEntry]] | None:
        """Return the daemons to relay through; None to connect directly.

        The holders, and those that take over if all holders are lost; in the
        order of use, which is the same on all daemons for an account.
        """

    def detours(self, member: ids.MemberId) -> list[coordination.DaemonEntry]:
        """Return daemons that may reach a member that this one cannot."""

    def use_sample(
        self,
        group: ids.GroupId,
        sent_at: float,
        sample: tuple[int, int, int],
    ) -> None:
        """Use a holder's sample of a group's primary."""

    def use_call(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
    ) -> None:
        """Go by a promotion call of which a holder knows."""

    def use_evidence(
        self,
        group: ids.GroupId,
        holder: ids.DaemonId,
        evidence: tuple[member_evidence.MemberEvidence, ...],
    ) -> None:
        """Use what a holder knows of a group's members."""

    def hold(self, member: ids.MemberId) -> None:
        """Connect to a member directly from now on."""
