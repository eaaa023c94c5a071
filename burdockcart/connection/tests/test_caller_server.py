"""Guards the caller server against bad input, over real sockets."""

import asyncio
import json
import pathlib
import shutil
import socket
import ssl
import tempfile
from unittest import mock

from returns import result
import testtools
from tornado import httpclient

from burdockcart.cmd import status
from burdockcart.connection import caller_server
from burdockcart.connection.tests import certificates
from burdockcart.connection import tls
from burdockcart import errors
from burdockcart.process import store_client
from burdockcart.request import statement

GOOD = {
    "request_id": "r1",
    "kind": "push",
    "operation": "write",
    "statement": {"op": "put"},
}
SERVED = statement.ServedBy("p", "e", "t", "g", "primary", 1, 1)


class CallerEdgeTestCase(testtools.TestCase):
    """Runs a server on a free port of the loopback address."""

    tls_context = None
    operators = None

    async def handle(self, caller, request):
        return result.Success(
            statement.Answer(request.request_id, "token", caller, SERVED)
        )

    def serve(self, scenario):
        self.failed = []

        async def body():
            server = caller_server.CallerServer(
                caller_server.Credentials({"studio": "s3cret"}),
                self.handle,
                lambda: {},
                operators=self.operators,
                on_failure=self.failed.append,
            )
            with socket.socket() as probe:
                probe.bind((certificates.ADDRESS, 0))
                self.port = probe.getsockname()[1]
            server.start(self.port, certificates.ADDRESS, self.tls_context)
            try:
                await scenario()
            finally:
                await server.stop()

        asyncio.run(body())

    async def exchange(self, body, secret="s3cret", length=None, context=None):
        """Send one request; return the status and the JSON body."""
        reader, writer = await asyncio.open_connection(
            certificates.ADDRESS, self.port, ssl=context
        )
        head = (
            "POST /v1/statements HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {secret}\r\n"
            f"Content-Length: {len(body) if length is None else length}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        answer = await reader.read()
        writer.close()
        header, _, content = answer.partition(b"\r\n\r\n")
        return int(header.split()[1]), json.loads(content)

    async def assert_error(self, kind, *args, **kwargs):
        status, body = await self.exchange(*args, **kwargs)
        self.assertEqual(kind.value, body["error"])
        self.assertEqual(errors.answer_for(kind).status, status)
        self.assertEqual("not run", body["effect"])
        self.assertNotEqual("", body["message"])


class TestStatus(CallerEdgeTestCase):
    """Who may read the status."""

    async def ask(self, token_text=None):
        """Return what the command ``status`` gets with a token file."""
        headers = {}
        if token_text is not None:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "token"
                path.write_text(token_text, encoding="utf-8")
                headers = status.headers_of(path)
        host = store_client.Host(
            "d", "daemon", "x", f"{certificates.ADDRESS}:1", "live"
        )
        client = httpclient.AsyncHTTPClient(force_instance=True)
        try:
            return await status.ask(client, host, self.port, headers)
        finally:
            client.close()

    def test_open_without_operators(self):
        """Guards against existing settings that lose access to the status."""

        async def scenario():
            self.assertEqual({}, await self.ask())

        self.serve(scenario)

    def test_operators_token_is_needed(self):
        """Guards against a status that is readable without a valid token."""
        self.operators = caller_server.Credentials({"ana": "0perator"})

        async def scenario():
            self.assertEqual({}, await self.ask("0perator\n"))
            self.assertEqual([], self.failed)
            for wrong in (None, "guess", "0perato", "s3cret"):
                self.assertIsNone(await self.ask(wrong))
            self.assertEqual([errors.ErrorKind.UNAUTHORIZED] * 4, self.failed)
            # An operator's token is not valid for a caller.
            await self.assert_error(
                errors.ErrorKind.UNAUTHORIZED,
                json.dumps(GOOD).encode(),
                "0perator",
            )

        self.serve(scenario)

    def test_file_without_one_token(self):
        """Guards against a wrong file that is sent as a token."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "token"
            for text in ("", "two words"):
                path.write_text(text, encoding="utf-8")
                self.assertRaises(ValueError, status.headers_of, path)


class TestBadInput(CallerEdgeTestCase):
    """Each kind of bad input gets one clear error."""

    def test_bad_bodies(self):
        """Guards against input that crashes the server or hangs it."""
        deep = b'{"statement": {"a": ' + b"[" * 100_000
        cases = {
            "truncated": b'{"request_id": "r',
            "not UTF-8": json.dumps(GOOD).encode().replace(b"r1", b"\xff"),
            "deep": deep,
            "not JSON": b"\x00\x01",
            "empty": b"",
            "wrong type": json.dumps({**GOOD, "operation": "drop"}).encode(),
            "long id": json.dumps({**GOOD, "request_id": "x" * 999}).encode(),
            "deadline": json.dumps({**GOOD, "deadline_ms": -1}).encode(),
        }

        async def scenario():
            for body in cases.values():
                await self.assert_error(errors.ErrorKind.BAD_REQUEST, body)
            status, _ = await self.exchange(json.dumps(GOOD).encode())
            self.assertEqual(200, status)

        self.serve(scenario)

    def test_wrong_secret(self):
        """Guards against statements of unknown callers."""

        async def scenario():
            body = json.dumps(GOOD).encode()
            await self.assert_error(
                errors.ErrorKind.UNAUTHORIZED, body, "guess"
            )

        self.serve(scenario)

    def test_oversized_body(self):
        """Guards against a body that fills the memory."""

        async def scenario():
            body = b" " * (caller_server.MAX_BODY_BYTES + 1)
            await self.assert_error(errors.ErrorKind.REQUEST_TOO_LARGE, body)

        self.serve(scenario)

    def test_slow_body(self):
        """Guards against callers that hold a connection without sending."""

        async def scenario():
            with mock.patch.object(caller_server, "BODY_TIMEOUT_S", 0.01):
                await self.assert_error(
                    errors.ErrorKind.REQUEST_TIMEOUT, b"{", length=100
                )

        self.serve(scenario)

    def test_too_many_connections(self):
        """Guards against one caller that takes every connection."""

        async def scenario():
            with mock.patch.object(caller_server, "MAX_CONNECTIONS", 1):
                first = await asyncio.open_connection(
                    certificates.ADDRESS, self.port
                )
                await asyncio.sleep(0)
                reader, writer = await asyncio.open_connection(
                    certificates.ADDRESS, self.port
                )
                self.assertEqual(b"", await reader.read())
                writer.close()
                first[1].close()

        self.serve(scenario)


class TestTls(CallerEdgeTestCase):
    """TLS with a certificate that is replaced while in use."""

    def setUp(self):
        super().setUp()
        folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        self.first = certificates.write(folder, "first")
        self.second = certificates.write(folder, "second")
        self.used = folder / "used.pem", folder / "used.key"
        for source, path in zip(self.first, self.used):
            shutil.copy(source, path)
        self.certificate = tls.Certificate(*self.used)
        self.tls_context = self.certificate.context

    async def assert_trusted(self, certificate):
        context = ssl.create_default_context(cafile=str(certificate))
        status, _ = await self.exchange(
            json.dumps(GOOD).encode(), context=context
        )
        self.assertEqual(200, status)

    def test_rotation(self):
        """Guards against a rotation that needs a restart."""

        async def scenario():
            await self.assert_trusted(self.first[0])
            for source, path in zip(self.second, self.used):
                shutil.copy(source, path)
            self.assertTrue(self.certificate.reload())
            await self.assert_trusted(self.second[0])

        self.serve(scenario)

    def test_mismatched_files_keep_the_old_certificate(self):
        """Guards against an outage during an incomplete rotation."""

        async def scenario():
            shutil.copy(self.second[1], self.used[1])
            self.assertFalse(self.certificate.reload())
            await self.assert_trusted(self.first[0])

        self.serve(scenario)
