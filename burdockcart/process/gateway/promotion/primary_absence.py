"""Tells for how long a group has had no primary, and why."""

import enum

import msgspec

from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.promotion import promotion_claims

#: Time for which the reason of an attempt that was put off counts, in
#: seconds; another daemon may have the next turns.
REASON_VALID_S = 5.0
#: Time after its last answer for which a primary that has not failed is taken
#: to be there, in seconds; it is asked each 0.9 s at least.
CONFIRMED_FOR_S = 2.0


class Reason(enum.Enum):
    """Why a group has no primary, unless an attempt was put off."""

    NONE = "none"
    CUT_OFF = "this daemon is cut off"
    NO_MEMBERS = "no member is listed"
    CALL_OPEN = "a promotion call may still be carried out"
    STORE_SILENT = "the store did not answer"
    OTHER_PROMOTES = "another daemon has the claim"
    UNKNOWN = "no listed member leads"
    SILENT = "the primary does not answer"


class Absence(msgspec.Struct, frozen=True):
    """Time without a primary in seconds, and its reason."""

    missing_s: float = 0.0
    reason: str = Reason.NONE.value


class PrimaryAbsences:
    """For how long each group has had no primary, as far as this daemon sees.

    Explanation
    ===========

    A primary is missing once it has failed or none is known, or has not
    answered for a while.  A daemon that is cut off sees the same, so only the
    least time among all daemons tells that there is none.

    """

    def __init__(self, claims: promotion_claims.PromotionClaims):
        self._claims = claims

    def absence(self, group: groups.Group, lost: bool, now: float) -> Absence:
        """Return for how long a group has had no primary, and why.

        Parameters
        ==========

        lost : bool
            Whether the primary has failed or none is known.

        """
        missing_s = now - group.primary.confirmed_at
        if not lost and missing_s < CONFIRMED_FOR_S:
            return Absence()
        return Absence(missing_s, self._reason(group, now))

    def _reason(self, group: groups.Group, now: float) -> str:
        if group.isolated:
            return Reason.CUT_OFF.value
        if not group.pool_by_member:
            return Reason.NO_MEMBERS.value
        noted = group.put_off.reason(now - REASON_VALID_S)
        if noted is not None:
            return noted
        if self._claims.candidate(group.id, now) is not None:
            return Reason.CALL_OPEN.value
        if self._claims.store_silent(group.id):
            return Reason.STORE_SILENT.value
        if not self._claims.may_try(group.id, False, now):
            return Reason.OTHER_PROMOTES.value
        if group.primary.pool() is None:
            return Reason.UNKNOWN.value
        return Reason.SILENT.value
