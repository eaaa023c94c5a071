"""HTTP/1.1 server for callers."""

import asyncio
import hmac
import ssl
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Protocol

import loguru
import msgspec
from returns import result
from tornado import httpserver
from tornado import httputil
from tornado import iostream

from burdockcart import errors
from burdockcart import ids
from burdockcart.request import statement

MAX_BODY_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
#: A larger body is not even read to its end; the connection is closed.
MAX_DISCARDED_BYTES = 8 * MAX_BODY_BYTES
BODY_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 300.0
#: 20 million connections over 4,800 daemons are 4,167 each; the rest is
#: room for the connections of a failed neighbour.
MAX_CONNECTIONS = 10_000

STATEMENTS_PATH = "/v1/statements"
TRANSACTIONS_PATH = "/v1/transactions"
READY_PATH = "/v1/ready"
STATUS_PATH = "/v1/status"

_Kind = errors.ErrorKind
AnswerResult = result.Result[statement.Answer, errors.Failure]


Handle = Callable[[ids.CallerId, statement.Request], Awaitable[AnswerResult]]


class Transactions(Protocol):
    """Begins and ends transactions."""

    async def begin(
        self, caller: ids.CallerId, request: statement.BeginRequest
    ) -> AnswerResult:
        """Open a transaction."""

    async def end(
        self,
        caller: ids.CallerId,
        identity: ids.TransactionId,
        action: statement.Action,
        request: statement.EndRequest,
    ) -> AnswerResult:
        """Commit or roll back a transaction."""


class Credentials:
    """Bearer tokens of the callers or of the operators.

    Examples
    ========

    >>> from burdockcart.connection import caller_server
    >>> known = caller_server.Credentials({"studio": "s3cret"})
    >>> known.caller("Bearer s3cret")
    'studio'
    >>> known.caller("Bearer guess") is None
    True

    """

    def __init__(self, secret_by_caller: dict[str, str]):
        self._secret_by_caller = secret_by_caller

    def caller(self, header: str | None) -> ids.CallerId | None:
        """Return the caller that an Authorization header belongs to."""
        given = (header or "").removeprefix("Bearer ").encode()
        found = None
        for caller, secret in self._secret_by_caller.items():
            if hmac.compare_digest(secret.encode(), given):
                found = ids.CallerId(caller)
        return found


class _LimitedServer(httpserver.HTTPServer):
    """Closes connections beyond the most that one daemon keeps."""

    open_streams = 0

    def handle_stream(
        self, stream: iostream.IOStream, address: tuple[Any, ...]
    ) -> None:
        if self.open_streams >= MAX_CONNECTIONS:
            loguru.logger.warning(
                "event=caller_refused open={} limit={}",
                self.open_streams,
                MAX_CONNECTIONS,
            )
            stream.close()
            return
        self.open_streams += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        self.open_streams -= 1
        super().on_close(server_conn)


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts connections of callers and counts open requests.

    Parameters
    ==========

    operators : Credentials or None
        Who may read the status; None leaves it open.
    on_failure : callable
        Called with the kind of each error that is answered.

    """

    def __init__(
        self,
        credentials: Credentials,
        handle: Handle,
        status: Callable[[], dict[str, Any]],
        transactions: Transactions | None = None,
        operators: Credentials | None = None,
        on_failure: Callable[[errors.ErrorKind], None] = lambda kind: None,
    ):
        self.credentials = credentials
        self.handle = handle
        self.transactions = transactions
        self.status = status
        self.operators = operators
        self.on_failure = on_failure
        self.ready = True
        self.open_requests = 0
        self.encoder = msgspec.json.Encoder()
        self._server: _LimitedServer | None = None

    def start(
        self,
        port: int,
        address: str,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        """Listen for callers, with TLS if a context is given."""
        self._server = _LimitedServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_DISCARDED_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            ssl_options=tls_context,
        )
        self._server.listen(port, address)

    async def stop(self) -> None:
        """Close the socket and every connection."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        return _Exchange(self, request_conn)


Call = Callable[[ids.CallerId, Any], Awaitable[AnswerResult]]


class _Exchange(httputil.HTTPMessageDelegate):
    """Reads one request and writes its answer."""

    def __init__(
        self, server: CallerServer, connection: httputil.HTTPConnection
    ):
        self._server = server
        self._connection = connection
        self._line: Any = None
        self._headers: Any = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._timeout: asyncio.TimerHandle | None = None

    def headers_received(self, start_line: Any, headers: Any) -> None:
        self._line, self._headers = start_line, headers
        self._timeout = asyncio.get_running_loop().call_later(
            BODY_TIMEOUT_S, self._body_late
        )

    def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size > MAX_BODY_BYTES:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)

    def _body_late(self) -> None:
        text = f"body was not complete after {BODY_TIMEOUT_S:g} s"
        self._fail(None, errors.Failure(_Kind.REQUEST_TIMEOUT, text))

    def _end_reading(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()

    def finish(self) -> None:
        self._end_reading()
        if self._size > MAX_BODY_BYTES:
            text = f"body of {self._size} bytes, limit {MAX_BODY_BYTES}"
            self._fail(None, errors.Failure(_Kind.REQUEST_TOO_LARGE, text))
            return
        path = self._line.path.partition("?")[0]
        call = self._call(path) if self._line.method == "POST" else None
        if call is not None:
            asyncio.get_running_loop().create_task(self._run(*call))
        elif (self._line.method, path) == ("GET", READY_PATH):
            status = 200 if self._server.ready else 503
            self._write(status, {"ready": self._server.ready})
        elif (self._line.method, path) == ("GET", STATUS_PATH):
            self._tell_status()
        else:
            text = f"no resource {self._line.method} {path}"
            self._fail(None, errors.Failure(_Kind.BAD_REQUEST, text))

    def _tell_status(self) -> None:
        operators = self._server.operators
        authorization = self._headers.get("Authorization")
        if operators is None or operators.caller(authorization) is not None:
            self._write(200, self._server.status())
            return
        text = "unknown or missing operator's token"
        self._fail(None, errors.Failure(_Kind.UNAUTHORIZED, text))

    def on_connection_close(self) -> None:
        self._end_reading()
        self._chunks.clear()

    def _call(self, path: str) -> tuple[type, Call] | None:
        """Return the type of the body and what to call with it."""
        transactions = self._server.transactions
        if path == STATEMENTS_PATH:
            return statement.Request, self._server.handle
        if transactions is None:
            return None
        if path == TRANSACTIONS_PATH:
            return statement.BeginRequest, transactions.begin
        identity, _, verb = path.removeprefix(
            TRANSACTIONS_PATH + "/"
        ).partition("/")
        if not path.startswith(TRANSACTIONS_PATH + "/") or (
            verb not in ("commit", "rollback")
        ):
            return None
        action = statement.Action(verb)

        def end(
            caller: ids.CallerId, request: statement.EndRequest
        ) -> Awaitable[AnswerResult]:
            return transactions.end(
                caller, ids.TransactionId(identity), action, request
            )

        return statement.EndRequest, end

    async def _run(self, body_type: type, call: Call) -> None:
        self._server.open_requests += 1
        try:
            await self._serve(body_type, call)
        finally:
            self._server.open_requests -= 1

    async def _serve(self, body_type: type, call: Call) -> None:
        authorization = self._headers.get("Authorization")
        caller = self._server.credentials.caller(authorization)
        if caller is None:
            text = "unknown or missing bearer token"
            self._fail(None, errors.Failure(_Kind.UNAUTHORIZED, text))
            return
        try:
            request: Any = msgspec.json.decode(
                b"".join(self._chunks), type=body_type
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            self._fail(None, errors.Failure(_Kind.BAD_REQUEST, str(error)))
            return
        try:
            answer = await call(caller, request)
        except Exception:
            loguru.logger.exception("event=request_failed")
            text = "internal error"
            answer = result.Failure(errors.Failure(_Kind.INTERNAL, text))
        if isinstance(answer, result.Failure):
            self._fail(request.request_id, answer.failure())
        else:
            self._write(200, answer.unwrap())

    def _fail(self, request_id: str | None, failure: errors.Failure) -> None:
        self._server.on_failure(failure.kind)
        body = statement.error_body(request_id, failure)
        self._write(errors.answer_for(failure.kind).status, body)

    def _write(self, status: int, body: Any) -> None:
        data = self._server.encoder.encode(body)
        headers = httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
            }
        )
        if not self._server.ready:
            headers["Connection"] = "close"
        line = httputil.ResponseStartLine(
            "HTTP/1.1", status, httputil.responses.get(status, "Unknown")
        )
        self._connection.write_headers(line, headers, data)
        self._connection.finish()
