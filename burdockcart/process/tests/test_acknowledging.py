"""A paused proxy never acknowledges a write of a replaced primary.

Checks guarantee P2: once a new primary accepts writes, no write of an older
term is acknowledged.

Each run pauses one daemon before its n-th callback after a write arrived,
replaces the primary and resumes the daemon.  The runs cover every callback up
to the answer, and so every await of the write path.
"""

import asyncio
import itertools

from returns import result
import testtools

from burdockcart.tests import small_deployment
from burdockcart.tests import virtual_time

ACTIVATION_DELAY_S = 0.4
#: Seconds after the new primary accepts writes: at once, and after every
#: timeout has expired.
RESUME_AFTER_S = (0.001, 2.5)
ENTRY, EXECUTOR = "d2-2", "d1-1"


async def _write(deployment, entry):
    """Write through an entry and return the answer."""
    return await deployment.put(entry, "w1", 1, repeatable=False)


async def _commit(deployment, entry):
    """Commit the open transaction and return the answer."""
    return await deployment.end(entry, "c1", deployment.transaction)


async def _answer(deployment, entry, send):
    """Return the answer and the time at which the entry gave it."""

    async def timed():
        answer = await send(deployment, entry)
        return answer, asyncio.get_running_loop().time()

    return await timed()


async def _run(send, entry, node, step, resume_after_s):
    """Return steps of the node, answer, and times of answer and promotion."""
    loop = asyncio.get_running_loop()
    deployment = small_deployment.SmallDeployment()
    await deployment.start()
    for target in deployment.targets.by_address.values():
        target.lag_s = 0.1
    try:
        if send is _commit:
            begun = await deployment.begin(entry, "b1")
            deployment.transaction = begun.unwrap().transaction
            await deployment.put(
                entry, "s1", 1, transaction=deployment.transaction
            )
        loop.steps[node] = 0
        if step is not None:
            loop.pause_at[node] = step
        written = asyncio.ensure_future(_answer(deployment, entry, send))
        while not written.done() and node not in loop.paused:
            await asyncio.sleep(0.0005)
        steps = loop.steps[node]
        if node not in loop.paused:
            return steps, *await written, None
        promoted_at = await deployment.replace_primary(
            "g-d3", ACTIVATION_DELAY_S
        )
        await asyncio.sleep(resume_after_s)
        loop.pause_at.clear()
        loop.resume(node)
        return steps, *await written, promoted_at
    finally:
        await deployment.stop()


class TestPausedProxy(testtools.TestCase):
    """Pauses the entry, the executor, or a daemon that is both."""

    def check(self, send, entry, node):
        run = virtual_time.run(_run(send, entry, node, None, 0))
        steps = run[0]
        self.assertIsInstance(run[1], result.Success)
        self.assertGreater(steps, 5)
        late = []
        for step, resume_after_s in itertools.product(
            range(1, steps + 1), RESUME_AFTER_S
        ):
            _, answer, at, promoted_at = virtual_time.run(
                _run(send, entry, node, step, resume_after_s)
            )
            if promoted_at is None or not isinstance(answer, result.Success):
                continue
            if at >= promoted_at and answer.unwrap().served_by.term == 1:
                late.append((step, resume_after_s))
        self.assertEqual([], late)

    def test_executor_of_a_write(self):
        """Guards against an executor that uses a confirmation from before."""
        self.check(_write, ENTRY, EXECUTOR)

    def test_entry_of_a_write(self):
        """Guards against an entry that forwards an outdated answer."""
        self.check(_write, ENTRY, ENTRY)

    def test_entry_that_is_the_executor(self):
        """Guards against a late acknowledgement by a daemon in both roles."""
        self.check(_write, EXECUTOR, EXECUTOR)

    def test_executor_of_a_commit(self):
        """Guards against an executor that acknowledges a commit late."""
        self.check(_commit, ENTRY, EXECUTOR)

    def test_entry_of_a_commit(self):
        """Guards against an entry that forwards an outdated commit answer."""
        self.check(_commit, ENTRY, ENTRY)
