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
    """Return how often operations within the rate were rejected, by text.

    For a case, those after its start; else all of a run with accounts, and
    how many of them were sent in times without a fault.
    """
    span = account_service.Since(soak.settled_at)
    counted = account_service.rejections(soak.history, span)
    if soak.case is not None:
        return [f"{count} {text}" for text, count in counted]
    calm = dict(
        account_service.rejections(
            soak.history, account_service.Calm(soak.history)
        )
    )
    return [
        f"{count} (calm {calm.get(text, 0)}) {text}" for text, count in counted
    ]
