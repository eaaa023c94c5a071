"""Tests sessions whose keys are removed, unknown or unconfirmed."""

import asyncio
import time
from unittest import mock

import loguru
from returns import result
import testtools

from burdockcart import errors
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.tests import test_manifest_backlog
from burdockcart.process.gateway.tests import test_sessions
from burdockcart.request import command
from burdockcart.tests import gateway_deployment
from burdockcart.version import manifest

Kind = command.CommandKind
Error = errors.ErrorKind
GROUP = gateway_deployment.GROUP
#: Bound on the use of a removed key, in seconds.
REVOKE_S = 5.0


def account(name, *keys):
    """Return an account with keys."""
    return manifest.Account(name=name, keys=frozenset(keys))


FIRST = (account("acme", "k-old", "k-kept"), account("zeta", "k-zeta"))
WITHOUT_OLD = (account("acme", "k-kept"), account("zeta", "k-zeta"))


def scenario(check, accounts=FIRST, strict_revoke=True, **options):
    """Run a check in a deployment with accounts."""
    test_sessions.scenario(
        check, accounts=accounts, strict_revoke=strict_revoke, **options
    )


def put(deployment, version, accounts, anonymous=()):
    """Write a manifest with other accounts; return its time."""
    deployment.platform.put_tables(
        gateway_deployment.tables(
            version, accounts=accounts, anonymous=anonymous
        )
    )
    return asyncio.get_running_loop().time()


def outcome(reply):
    """Return the kind of a failure; None for a success."""
    if gateway_deployment.ok(reply):
        return None
    return gateway_deployment.kind_of(reply)


async def outcomes(clients, duration_s, step_s=0.1):
    """Write at intervals; return the kinds of failures of each client."""
    found = [[] for _ in clients]
    until = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < until:
        for each, client in zip(found, clients):
            each.append(outcome(await client.write()))
        await asyncio.sleep(step_s)
    return found


async def last_success(client, duration_s):
    """Write at intervals; return when the last success was sent."""
    loop = asyncio.get_running_loop()
    until, last = loop.time() + duration_s, 0.0
    while loop.time() < until:
        sent_at = loop.time()
        if outcome(await client.write()) is None:
            last = sent_at
        await asyncio.sleep(0.05)
    return last


class TestOpening(testtools.TestCase):
    """Keys of new sessions."""

    def test_key_names_the_account(self):
        """Guards against sessions of another account, or without one."""

        async def check(deployment):
            for key, name in (("k-old", "acme"), ("k-zeta", "zeta")):
                client = await deployment.client("live", key=key)
                self.assertEqual(name, client.session._session.account)
                self.assertIsNone(outcome(await client.write()))

        scenario(check)

    def test_unknown_key(self):
        """Guards against service without a valid key."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            for key in ("", "-", "k-ol", "k-old ", "k-old k-old"):
                opened = await daemon.open_session("live", key)
                self.assertIs(Error.UNAUTHORIZED, opened.failure().kind)
            self.assertIn(
                b'burdockcart_keys_refused_total{at="opening"} 5.0',
                daemon.measure(),
            )

        scenario(check)

    def test_anonymous_route(self):
        """Guards against keys that are asked for or used without need."""

        async def check(deployment):
            for key in ("", "k-old", "wrong"):
                client = await deployment.client("live", key=key)
                self.assertIsNone(client.session._session.account)
                self.assertIsNone(outcome(await client.write()))

        scenario(check, anonymous=("live",))

    def test_texts_without_keys(self):
        """Guards against keys in log lines, metrics and error texts."""
        lines = []
        handler = loguru.logger.add(lines.append, level="TRACE")

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            opened = await daemon.open_session("live", "k-wrong")
            await client.write()
            put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            reply = await client.write()
            texts = [
                opened.failure().message,
                reply.outcome.failure().message,
                daemon.measure().decode(),
                *map(str, lines),
            ]
            self.assertEqual([], [each for each in texts if "k-" in each])

        try:
            scenario(check)
        finally:
            loguru.logger.remove(handler)
        self.assertTrue(any("event=key_refused" in each for each in lines))


class TestRemovedKeys(testtools.TestCase):
    """Sessions whose keys a new manifest lacks."""

    def test_session_ends(self):
        """Guards against service after a key was removed.

        Also answers that the daemon gives itself are refused then.
        """
        for kind in (Kind.WRITE, Kind.SET, Kind.BEGIN, Kind.ROLLBACK):

            async def check(deployment, kind=kind):
                client = await deployment.client("live", key="k-old")
                put(deployment, 2, WITHOUT_OLD)
                await asyncio.sleep(2.0)
                reply = await client.send(kind, "SET a b", "a", "b")
                self.assertIs(Error.UNAUTHORIZED, outcome(reply))
                self.assertTrue(client.session.ends)
                closing = client.session.closing_failure()
                self.assertIs(Error.UNAUTHORIZED, closing.kind)

            scenario(check)

    def test_rotation(self):
        """Guards against sessions that end as another key was removed."""

        async def check(deployment):
            kept = await deployment.client("live", key="k-kept")
            self.assertIsNone(outcome(await kept.write()))
            put(
                deployment,
                2,
                (account("acme", "k-kept", "k-new"), FIRST[1]),
            )
            await asyncio.sleep(2.0)
            new = await deployment.client("live", key="k-new")
            for client in (kept, new):
                self.assertIsNone(outcome(await client.write()))
                self.assertEqual("acme", client.session._session.account)
                self.assertFalse(client.session.ends)

        scenario(check)

    def test_all_keys_of_an_account(self):
        """Guards against an account that outlives its keys.

        It must not matter whether the account itself is still listed, or
        whether the manifest has any accounts.
        """
        for accounts in ((account("acme"), FIRST[1]), FIRST[1:], ()):

            async def check(deployment, accounts=accounts):
                clients = [
                    await deployment.client("live", key=key)
                    for key in ("k-old", "k-kept")
                ]
                put(deployment, 2, accounts)
                await asyncio.sleep(2.0)
                for client in clients:
                    self.assertIs(
                        Error.UNAUTHORIZED, outcome(await client.write())
                    )

            scenario(check)

    def test_key_given_again(self):
        """Guards against keys that stay refused after their return."""

        async def check(deployment):
            open_client = await deployment.client("live", key="k-old")
            put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            opened = await deployment.daemons[0].open_session("live", "k-old")
            self.assertIs(Error.UNAUTHORIZED, opened.failure().kind)
            put(deployment, 3, FIRST)
            await asyncio.sleep(2.0)
            late = await deployment.client("live", key="k-old")
            for client in (open_client, late):
                self.assertIsNone(outcome(await client.write()))

        scenario(check)

    def test_key_of_another_account(self):
        """Guards against statements on connections of the account before."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            await client.send(Kind.BEGIN)
            self.assertIsNone(outcome(await client.write()))
            moved = (account("acme", "k-kept"), account("zeta", "k-old"))
            put(deployment, 2, moved)
            await asyncio.sleep(2.0)
            reply = await client.write()
            self.assertIs(Error.TRANSACTION_LOST, outcome(reply))
            await client.send(Kind.ROLLBACK)
            self.assertIsNone(outcome(await client.write()))
            self.assertEqual("zeta", client.session._session.account)

        scenario(check)

    def test_open_transaction(self):
        """Guards against a commit after the key was removed."""
        for kind in (Kind.WRITE, Kind.COMMIT):

            async def check(deployment, kind=kind):
                client = await deployment.client("live", key="k-old")
                await client.send(Kind.BEGIN)
                self.assertIsNone(outcome(await client.write()))
                log = list(deployment.group.primary.log)
                put(deployment, 2, WITHOUT_OLD)
                await asyncio.sleep(2.0)
                reply = await client.send(kind, "WRITE 1a4 x")
                self.assertIs(Error.UNAUTHORIZED, outcome(reply))
                self.assertFalse(client.session.in_transaction)
                await asyncio.sleep(1.0)
                self.assertEqual(log, deployment.group.primary.log)

            scenario(check)

    def test_transaction_that_has_failed(self):
        """Guards against a failed transaction that hides the removal."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            await client.send(Kind.BEGIN)
            client.session.expire_transaction("was idle")
            put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            self.assertIs(Error.UNAUTHORIZED, outcome(await client.write()))

        scenario(check)

    def test_statement_in_the_queue(self):
        """Guards against a check that is repeated after the queue.

        What was read while the key was valid may run; the next may not.
        """

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            group = daemon.group_by_id[GROUP]
            with mock.patch.object(group, "dispatch"):
                waiting = asyncio.create_task(client.write())
                await asyncio.sleep(0.01)
                self.assertEqual(1, len(group.queue))
                put(deployment, 2, WITHOUT_OLD)
                await daemon.tables.refresh()
            group.dispatch()
            self.assertIsNone(outcome(await waiting))
            self.assertIs(Error.UNAUTHORIZED, outcome(await client.write()))

        scenario(check)

    def test_without_a_bound(self):
        """Guards against keys that are not checked without strictness."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            other = await deployment.client("live", key="k-kept")
            put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            self.assertIs(Error.UNAUTHORIZED, outcome(await client.write()))
            deployment.platform.outage = True
            await asyncio.sleep(20.0)
            self.assertIsNone(outcome(await other.write()))

        scenario(check, strict_revoke=False)


class TestChangedRoutes(testtools.TestCase):
    """Manifests that begin or end to ask for keys."""

    def test_route_that_needs_a_key_now(self):
        """Guards against sessions without an account that go on."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            put(deployment, 2, FIRST)
            await asyncio.sleep(2.0)
            self.assertIs(Error.UNAUTHORIZED, outcome(await client.write()))

        scenario(check, anonymous=("live",))

    def test_route_that_needs_no_key_now(self):
        """Guards against sessions that lose their account or their end."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            put(deployment, 2, FIRST, anonymous=("live",))
            await asyncio.sleep(2.0)
            self.assertIsNone(outcome(await client.write()))
            self.assertEqual("acme", client.session._session.account)
            put(deployment, 3, WITHOUT_OLD, anonymous=("live",))
            await asyncio.sleep(2.0)
            self.assertIs(Error.UNAUTHORIZED, outcome(await client.write()))

        scenario(check)

    def test_first_accounts(self):
        """Guards against sessions from before that need no key."""

        async def check(deployment):
            valid = await deployment.client("live", key="k-old")
            wrong = await deployment.client("live", key="other")
            for client in (valid, wrong):
                self.assertIsNone(outcome(await client.write()))
                self.assertIsNone(client.session._session.account)
            put(deployment, 2, FIRST)
            await asyncio.sleep(2.0)
            self.assertIsNone(outcome(await valid.write()))
            self.assertEqual("acme", valid.session._session.account)
            self.assertIs(Error.UNAUTHORIZED, outcome(await wrong.write()))

        scenario(check, accounts=())

    def test_no_accounts(self):
        """Guards against effects on deployments without accounts."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="any")
            daemon.boot_clock.suspended_s += 60.0
            for daemon in deployment.daemons:
                daemon.link.store_cut = True
            await asyncio.sleep(20.0)
            self.assertIsNone(outcome(await client.write()))

        scenario(check, accounts=())


class TestEvidence(testtools.TestCase):
    """Statements while the store does not confirm the manifest."""

    def test_store_is_down(self):
        """Guards against keys that work for as long as the store is down.

        Sessions without an account go on, and all do after its return.
        """

        async def check(deployment):
            keyed = await deployment.client("live", key="k-old")
            free = await deployment.client("archive")
            deployment.platform.outage = True
            until = asyncio.get_running_loop().time() + REVOKE_S
            self.assertGreater(until - await last_success(keyed, 8.0), 0.25)
            reply = await keyed.write()
            self.assertIs(Error.CREDENTIALS_UNCONFIRMED, outcome(reply))
            failure = reply.outcome.failure()
            self.assertGreater(failure.retry_after_ms, 0)
            self.assertFalse(keyed.session.ends)
            self.assertIsNone(outcome(await free.read()))
            deployment.platform.outage = False
            await asyncio.sleep(2.0)
            self.assertIsNone(outcome(await keyed.write()))

        scenario(check, anonymous=("archive",))

    def test_key_removed_in_a_storm_of_manifests(self):
        """Guards keys while a large manifest changes on slow links.

        A removed key must be refused in time, and others must be served.
        """

        async def check(deployment):
            test_manifest_backlog.with_slow_links(deployment)
            clients = [
                await deployment.client("live", key=key)
                for key in ("k-old", "k-kept")
            ]
            removed_at = None

            async def storm():
                nonlocal removed_at
                for version in range(2, 200):
                    removed = version >= 60
                    accounts = WITHOUT_OLD if removed else FIRST
                    written_at = put(deployment, version, accounts)
                    if removed and removed_at is None:
                        removed_at = written_at
                    await asyncio.sleep(0.1)

            writing = asyncio.create_task(storm())
            last, kept = await asyncio.gather(
                last_success(clients[0], 18.0),
                outcomes(clients[1:], 18.0),
            )
            self.assertLess(last, removed_at + REVOKE_S)
            self.assertGreater(last, removed_at - 1.0)
            self.assertEqual({None}, set(kept[0]))
            writing.cancel()

        scenario(check)

    def test_store_is_silent_for_one_daemon(self):
        """Guards against a removed key on a daemon without the store.

        The others refuse the key for it was removed, and serve its account.
        """

        async def check(deployment):
            cut, other = deployment.daemons
            clients = [
                await deployment.client("live", daemon=number, key=key)
                for number in (0, 1)
                for key in ("k-old", "k-kept")
            ]
            cut.link.store_cut = True
            removed_at = put(deployment, 2, WITHOUT_OLD)
            last = await asyncio.gather(
                *(last_success(each, 9.0) for each in clients)
            )
            self.assertLess(max(last[:3]), removed_at + REVOKE_S)
            self.assertGreater(last[3], removed_at + 8.5)
            kinds = [outcome(await each.write()) for each in clients]
            unconfirmed = Error.CREDENTIALS_UNCONFIRMED
            self.assertEqual(
                [unconfirmed, unconfirmed, Error.UNAUTHORIZED, None], kinds
            )
            cut.link.store_cut = False
            await asyncio.sleep(2.0)
            kinds = [outcome(await each.write()) for each in clients[:2]]
            self.assertEqual([Error.UNAUTHORIZED, None], kinds)

        scenario(check)

    def test_one_poll_without_an_answer(self):
        """Guards against refusals as a single poll had no answer.

        Its timeout is 2 s.
        """

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            changes = deployment.platform.changes
            lost = []

            async def lose_one(position, limit_bytes=None):
                if lost:
                    return await changes(position, limit_bytes)
                lost.append(position)
                await asyncio.sleep(2.0)
                return result.Failure(coordination.CallFault.NO_ANSWER)

            with mock.patch.object(deployment.platform, "changes", lose_one):
                found = await outcomes([client], 8.0)
            self.assertEqual(1, len(lost))
            self.assertEqual({None}, set(found[0]))

        scenario(check, daemons=1)

    def test_slow_store(self):
        """Guards against evidence that counts from the answer.

        A store that answers after 4 s confirms what was so 4 s ago.
        """

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            await asyncio.sleep(2.0)
            for daemon in deployment.daemons:
                daemon.link.delay_s = 4.0
            await asyncio.sleep(4.0)
            removed_at = put(deployment, 2, WITHOUT_OLD)
            last = await last_success(client, 12.0)
            self.assertLess(last, removed_at + REVOKE_S)

        scenario(check)

    def test_suspended_host(self):
        """Guards against a key that was removed during a suspension."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            self.assertIsNone(outcome(await client.write()))
            daemon.boot_clock.suspended_s += 6.0
            reply = await client.write()
            self.assertIs(Error.CREDENTIALS_UNCONFIRMED, outcome(reply))
            await asyncio.sleep(2.0)
            self.assertIsNone(outcome(await client.write()))

        scenario(check)

    def test_poll_that_was_sent_before_a_suspension(self):
        """Guards against an answer that arrives after a suspension."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.client("live", key="k-old")
            daemon.link.delay_s = 0.5
            asyncio.create_task(daemon.tables.refresh())
            await asyncio.sleep(0.2)
            daemon.boot_clock.suspended_s += 6.0
            await asyncio.sleep(0.4)
            reply = await client.write()
            self.assertIs(Error.CREDENTIALS_UNCONFIRMED, outcome(reply))

        scenario(check)

    def test_jump_of_the_wall_clock(self):
        """Guards against a use of the wall clock."""

        async def check(deployment):
            client = await deployment.client("live", key="k-old")
            now = time.time()
            for jump_s in (86400.0, -86400.0):
                with mock.patch("time.time", return_value=now + jump_s):
                    found = await outcomes([client], 4.0)
                self.assertEqual({None}, set(found[0]))
            deployment.platform.outage = True
            with mock.patch("time.time", return_value=now - 86400.0):
                await asyncio.sleep(6.0)
                reply = await client.write()
            self.assertIs(Error.CREDENTIALS_UNCONFIRMED, outcome(reply))

        scenario(check)

    def test_unreadable_manifest(self):
        """Guards against a key that an unreadable manifest removes."""

        async def check(deployment):
            client = await deployment.client("live", key="k-kept")
            removed_at = asyncio.get_running_loop().time()
            deployment.platform.put_unreadable_tables()
            last = await last_success(client, 12.0)
            self.assertLess(last, removed_at + REVOKE_S)
            self.assertGreater(last, removed_at + 3.0)
            put(deployment, 3, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            self.assertIsNone(outcome(await client.write()))

        scenario(check)

    def test_restored_store(self):
        """Guards against a removed key that a restored store has again."""

        async def check(deployment):
            platform = deployment.platform
            client = await deployment.client("live", key="k-old")
            kept = await deployment.client("live", key="k-kept")
            await asyncio.sleep(3.0)
            copied = platform.copy()
            put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            platform.restore(copied)
            found = await outcomes([client, kept], 2.0)
            self.assertEqual({Error.UNAUTHORIZED}, set(found[0]))
            self.assertEqual({None}, set(found[1]))
            put(deployment, 2, WITHOUT_OLD)
            found = await outcomes([client, kept], 8.0)
            self.assertEqual({Error.UNAUTHORIZED}, set(found[0]))
            self.assertEqual({None}, set(found[1]))

        scenario(check)

    def test_daemon_that_missed_a_manifest_before_a_restore(self):
        """Guards against evidence from a restored, older manifest.

        The daemon was cut off while the others read the newer one.
        """

        async def check(deployment):
            platform = deployment.platform
            client = await deployment.client("live", key="k-old")
            await asyncio.sleep(3.0)
            copied = platform.copy()
            link = deployment.daemons[0].link
            link.store_cut = True
            removed_at = put(deployment, 2, WITHOUT_OLD)
            await asyncio.sleep(2.0)
            platform.restore(copied)
            link.store_cut = False
            asyncio.get_running_loop().call_later(
                2.5, put, deployment, 2, WITHOUT_OLD
            )
            last = await last_success(client, 10.0)
            self.assertLess(last, removed_at + REVOKE_S)

        scenario(check, daemons=3)

    def test_age_is_reported(self):
        """Guards against a gauge that does not follow the evidence."""

        async def check(deployment):
            daemon = deployment.daemons[0]

            def age_s():
                line = next(
                    each
                    for each in daemon.measure().decode().splitlines()
                    if each.startswith("burdockcart_key_evidence_age_seconds ")
                )
                return float(line.split()[1])

            await asyncio.sleep(3.0)
            self.assertLess(age_s(), 1.6)
            deployment.platform.outage = True
            await asyncio.sleep(10.0)
            self.assertGreater(age_s(), 9.9)

        scenario(check)

    def test_age_that_does_not_matter(self):
        """Guards against alerts where no bound or no account is set."""

        async def check(deployment):
            deployment.platform.outage = True
            await asyncio.sleep(10.0)
            self.assertIn(
                b"burdockcart_key_evidence_age_seconds 0.0",
                deployment.daemons[0].measure(),
            )

        scenario(check, strict_revoke=False)
        scenario(check, accounts=())
