"""Checks that routing and admission do not change the answers."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.request import statement
from burdockcart.tests import fakes
from burdockcart.tests import naive
from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time

DAEMONS = ("d1-1", "d2-2", "d3-3")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(DAEMONS),
        strategies.sampled_from(("ann", "bob", "eve")),
        strategies.sampled_from(("put", "append", "get", "get", "drop")),
        strategies.integers(0, 9),
    ),
    min_size=1,
    max_size=25,
)


def requests(steps, sessions):
    """Yield the daemon, caller and request of each step.

    Each caller has its own key and session, because a read of another
    caller's write may be as old as the route allows.
    """
    for number, (daemon, caller, op, value) in enumerate(steps):
        read = op == "get"
        yield daemon, caller, statement.Request(
            request_id=f"q{number}",
            kind="archive" if read else "push",
            operation=statement.Operation("read" if read else "write"),
            statement={"op": op, "key": caller, "value": value},
            session=sessions.get(caller),
        )


async def real_answers(steps):
    deployment = small_deployment.SmallDeployment()
    await deployment.start()
    answers, sessions = [], {}
    try:
        for daemon, caller, request in requests(steps, sessions):
            entry = deployment.daemon_by_id[daemon].entry
            answer = await entry.handle(caller, request)
            if answer.value_or(None):
                sessions[caller] = answer.unwrap().session
            answers.append(plain(answer))
    finally:
        await deployment.stop()
    return answers


async def naive_answers(steps):
    targets = fakes.FakeTargets(fakes.Wire())
    tables = small_deployment.tables()
    primary = tables.pool_by_name["p"].groups[0].members[0]
    targets.add(primary.id, primary.address)
    proxy = naive.Naive("n", tables, fakes.FakeConnector("d1-1", targets))
    answers = []
    for _, caller, request in requests(steps, {}):
        answers.append(plain(await proxy.handle(caller, request)))
    targets.stop()
    return answers


def plain(answer):
    """Return what a caller may rely on: the result or the error kind."""
    if answer.value_or(None) is None:
        return answer.failure().kind.value
    return answer.unwrap().request_id, answer.unwrap().result


class TestNaive(testtools.TestCase):
    @hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
    @hypothesis.given(STEPS)
    def test_both_give_each_caller_the_same_answers(self, steps):
        """Guards against a stale, lost or mixed-up answer."""
        expected = virtual_time.run(naive_answers(steps))
        self.assertEqual(expected, virtual_time.run(real_answers(steps)))
