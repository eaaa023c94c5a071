"""Tests the operator's command over the wire, against the stand-ins."""

import asyncio
import base64
import contextlib
import io
import pathlib
import tempfile

import testtools

from burdockcart.platform import formats
from burdockcart.platform import group
from burdockcart.platform.standin import site as sites
from burdockcart.platform.standin import site_start
from burdockcart.platform import store_values
from burdockcart.process.gateway.store import coordination
from burdockcart.request import log_position
from burdockcart.soak import history as histories

SETTINGS = """node-name=d0
zone=recife
listen-addrs.front={host}:1
listen-addrs.ready={host}:2
platform.address={host}:{port}
cloud-api.address={host}:{port}
ip={host}
port-range=7440
"""


class Deployment:
    """Three members, the platform, and no daemon."""

    def __init__(self, site, folder):
        self.site = site
        self.primary, self.first, self.lost = (
            each.member for each in site.servers
        )
        self.settings = folder / "settings"
        self.settings.write_text(
            SETTINGS.format(host=site.store_host, port=sites.STORE_PORT)
        )
        self.put_roster()
        site.store.put(
            store_values.COMPLETE_KEY,
            formats.encode_era(site.platform.era),
        )

    def put_roster(self, floor=None):
        """Write the roster that daemons would have written."""
        starts = [
            coordination.RosterMember(
                each.member.id, each.started_ms, each.address
            )
            for each in self.site.servers
        ]
        self.site.store.put(
            store_values.ROSTER_PREFIX + sites.SERVICE,
            formats.encode_roster(
                coordination.Roster(tuple(sorted(starts)), floor)
            ),
        )

    def lose_two(self):
        """Lose the primary and a replica that has acknowledged alone."""
        self.first.replication_cut = True
        self.primary.commit([("w1", "WRITE 1a4 x")])
        for server in (self.site.servers[0], self.site.servers[2]):
            server.crash()
            self.site.store.delete(
                store_values.MEMBER_PREFIX + server.member.id
            )

    @property
    def names(self):
        """Members that are lost, as an operator names them."""
        return [
            f"{each.member.id}/{each.started_ms}"
            for each in (self.site.servers[0], self.site.servers[2])
        ]

    async def run(self, action, *arguments):
        """Run a command; return its exit code and output."""
        args = group._parser().parse_args([action, sites.SERVICE, *arguments])
        args.settings = self.settings
        config = group.settings_file.read(self.settings).unwrap()
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = await group._run(args, config)
        return code, output.getvalue()


class TestGroup(testtools.TestCase):
    """Output, exit codes and effects of the command."""

    def scenario(self, check):
        async def whole(folder):
            site = await site_start.start_on_free_addresses(
                lambda prefix: sites.Site(
                    prefix,
                    histories.History(),
                    lambda *arguments, **fields: None,
                    16,
                    lambda *address: {},
                )
            )
            beating = asyncio.create_task(site.run())
            try:
                await check(Deployment(site, folder))
            finally:
                beating.cancel()
                site.stop()

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(whole(pathlib.Path(folder)))

    def test_status_of_a_healthy_group(self):
        """The primary and all positions must be shown."""

        async def check(deployment):
            deployment.primary.commit([("w1", "WRITE 1a4 x")])
            code, output = await deployment.run("status")
            lines = output.splitlines()
            self.assertEqual(0, code)
            self.assertEqual(4, len(lines))
            self.assertIn("verdict='a member leads'", lines[0])
            self.assertIn("role=primary term=1 position=1.1", lines[1])
            self.assertIn("role=replica term=1 position=1.1", lines[2])

        self.scenario(check)

    def test_promotion(self):
        """The command that status prints must promote the member."""

        async def check(deployment):
            deployment.lose_two()
            code, output = await deployment.run("status")
            self.assertEqual(1, code)
            command = output.splitlines()[-1].strip()
            self.assertTrue(command.startswith(group.COMMAND))
            self.assertEqual(
                ["promote", sites.SERVICE, deployment.first.id]
                + [
                    word
                    for name in deployment.names
                    for word in ("--accept-loss", name)
                ],
                command.removeprefix(group.COMMAND).split(),
            )
            code, output = await deployment.run(
                "promote",
                deployment.first.id,
                *command.split()[6:],
                "--operator",
                "ann",
            )
            self.assertEqual(0, code, output)
            self.assertTrue(deployment.first.leads)
            self.assertIn(f"done: {deployment.first.id} leads", output)
            code, output = await deployment.run("promote", deployment.first.id)
            self.assertEqual(0, code, output)
            keys = [
                key
                for key in deployment.site.store.item_by_key
                if key.startswith(store_values.OPERATOR_PREFIX)
            ]
            self.assertEqual(1, len(keys))
            stored = deployment.site.store.item_by_key[
                store_values.PROMOTION_PREFIX + sites.SERVICE
            ]
            record = formats.read_promotion(base64.b64decode(stored["value"]))
            self.assertTrue(record.settled)
            self.assertTrue(record.holder.startswith("operator/ann/"))
            self.assertEqual(1, len(deployment.site.platform.promotions))

        self.scenario(check)

    def test_loss_that_is_not_accepted(self):
        """Nothing may be written without the acceptance."""

        async def check(deployment):
            deployment.put_roster(log_position.LogPosition(1, 1))
            deployment.lose_two()
            revision = deployment.site.store.revision
            code, output = await deployment.run(
                "promote",
                deployment.first.id,
                "--accept-loss",
                deployment.names[0],
            )
            self.assertEqual(group.EXIT_NOT_ACCEPTED, code)
            self.assertIn(
                f"not accepted: floor/1.1 {deployment.names[1]}", output
            )
            keys = [
                key
                for key, item in deployment.site.store.item_by_key.items()
                if item["revision"] > revision
                and not key.startswith(store_values.MEMBER_PREFIX)
            ]
            self.assertEqual([], keys)

        self.scenario(check)

    def test_unknown_group(self):
        """A misspelt group must be refused."""

        async def check(deployment):
            args = group._parser().parse_args(["status", "leger"])
            args.settings = deployment.settings
            config = group.settings_file.read(deployment.settings).unwrap()
            with contextlib.redirect_stderr(io.StringIO()) as output:
                code = await group._run(args, config)
            self.assertEqual(1, code)
            self.assertIn("missing", output.getvalue())

        self.scenario(check)

    def test_settings(self):
        """A missing settings file must be told, not traced."""
        with contextlib.redirect_stderr(io.StringIO()) as output:
            code = group.main(["status", "g", "--settings", "/nowhere"])
        self.assertEqual(group.EXIT_USAGE, code)
        self.assertIn("No such file", output.getvalue())
