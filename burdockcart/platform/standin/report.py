"""Line on the run of a soak."""

import collections

from burdockcart.platform.standin import soak as soaks
from burdockcart.soak import account_service
from burdockcart.soak import checks


def summary(soak: soaks.Soak, found: list[checks.Violation]) -> str:
    """Return one line on a run."""
    history = soak.history
    requests = history.requests
    count_by_outcome = collections.Counter(
        each.outcome.value for each in requests if each.outcome
    )
    count_by_rule = collections.Counter(each.rule for each in found)
    outcomes = " ".join(
        f"{outcome.replace(' ', '_')}={count}"
        for outcome, count in sorted(count_by_outcome.items())
    )
    rules = ",".join(f"{r}:{n}" for r, n in sorted(count_by_rule.items()))
    stall_s = max((late_s for _, late_s in history.stalls), default=0.0)
    accounts = account_service.summary(history)
    case = ""
    if soak.case is not None:
        served = account_service.since(history, soak.settled_at)
        case = f"case={soak.case.value} {served} "
    return (
        f"{case}seed={soak.seed} requests={len(requests)} {outcomes} "
        f"probes={len(history.probes)} "
        f"runs={len(history.runs)} commits={len(history.log)} "
        f"promotions={len(history.promotions)} "
        f"dropped={sum(len(e.missing) for e in history.takeovers)} "
        f"ends={len(history.process_ends)} "
        f"stall_s={stall_s:.2f} "
        + (f"{accounts} " if accounts else "")
        + f"violations={rules or 'none'}"
    )


def rejections(soak: soaks.Soak) -> list[str]:
    """Return how often a case rejected operations within the rate, by text.

    Empty without a case.
    """
    if soak.case is None:
        return []
    counted = account_service.rejections(soak.history, soak.settled_at)
    return [f"{count} {text}" for text, count in counted]
