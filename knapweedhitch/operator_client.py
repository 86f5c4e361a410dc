"""The client of the operator listener that the command line uses."""

from __future__ import annotations

import itertools
import json
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio

from knapweedhitch.clock import MS_PER_S
from knapweedhitch.exceptions import (
    ChangeConflict,
    ChangeInvalid,
    ChangeUnconfirmed,
    NoLeader,
    NotControlInstance,
    OperatorAnswerLost,
    OperatorRefused,
    OperatorUnreachable,
    OrderRedirected,
    VersionLags,
)
from knapweedhitch.model import Address

CONNECT_TIMEOUT_MS = 2_000
# Above the daemon's operator.propose_timeout_ms, so that the daemon's own response arrives first.
RESPONSE_TIMEOUT_MS = 10_000
ATTEMPTS = 3
MAX_REDIRECTS = 2
RETRY_DELAY_MS = 200
READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
# The status of 15,000 nodes takes about 2 MB.
MAX_RESPONSE_BYTES = 67_108_864
# The leader looks up the change id first, so these errors mean that no earlier attempt is in force.
NOT_APPLIED_REASONS = frozenset({ChangeConflict.reason, ChangeInvalid.reason})

OpenStream = Callable[[], Awaitable[trio.abc.Stream]]


class _Redirected(OperatorRefused):
    """Report a response that names another path for the request."""

    def __init__(self, refusal: OperatorRefused, path: str) -> None:
        super().__init__(refusal.status, refusal.error, refusal.detail, refusal.fields)
        self.path = path


class _ResponseLost(Exception):
    """Report a request that may have been sent and got no complete response."""


def new_change_id() -> str:
    """Return a new unique change id."""
    return uuid.uuid4().hex


class OperatorClient:
    """Send requests to one operator listener, each with a timeout."""

    def __init__(
        self,
        address: Address,
        token: str,
        *,
        attempts: int = ATTEMPTS,
        open_stream: OpenStream | None = None,
    ) -> None:
        self._address = address
        self._token = token
        self._attempts = attempts
        self._open_stream = open_stream or self._connect

    async def get(self, path: str) -> Any:
        """Return the JSON or text of a page; raises OperatorRefused and OperatorUnreachable."""
        problem = ""
        for attempt in range(self._attempts):
            await self._delay_retry(attempt)
            try:
                return await self._exchange("GET", path, None)
            except _ResponseLost as exc:
                problem = str(exc)
        raise OperatorUnreachable(f"{self._address} does not respond: {problem}")

    async def change(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a change; retry it under the same change id after a lost response.

        Raises OperatorRefused, OperatorUnreachable (nothing was sent) and OperatorAnswerLost.
        """
        lost_problem = ""
        refusal: OperatorRefused | None = None
        for attempt in range(self._attempts):
            await self._delay_retry(attempt)
            try:
                return await self._post(path, body)
            except _ResponseLost as exc:
                lost_problem = str(exc)
            except OperatorUnreachable:
                # After a lost response the change may be in force, so the retries continue.
                if not lost_problem:
                    raise
            except OperatorRefused as exc:
                if exc.error == ChangeUnconfirmed.reason:
                    lost_problem = str(exc)
                elif exc.error in (NoLeader.reason, OrderRedirected.reason):
                    refusal = exc
                elif lost_problem and exc.error not in NOT_APPLIED_REASONS:
                    # The refusal doesn't reveal the outcome of the attempt whose response was lost.
                    raise OperatorAnswerLost(str(body["change_id"]), str(exc)) from None
                else:
                    raise
        if lost_problem or refusal is None:
            raise OperatorAnswerLost(str(body["change_id"]), lost_problem)
        raise refusal

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a change and follow redirects of orders."""
        for redirects in itertools.count():
            try:
                response: dict[str, Any] = await self._exchange("POST", path, body)
                return response
            except _Redirected as exc:
                if redirects == MAX_REDIRECTS or not exc.path.startswith("/"):
                    raise
                path = exc.path
        raise AssertionError("the loop ends by a response or an error")

    async def wait_everywhere(self, version: int, timeout_ms: float) -> None:
        """Poll a control instance until a version is in force at every node that it knows.

        Raises VersionLags with the nodes that lag, OperatorRefused at other instances.
        """
        lagging: list[str] = []
        with trio.move_on_after(timeout_ms / MS_PER_S):
            while True:
                page = await self.get("/v1/status")
                if page["nodes"] is None:
                    control_ids = ", ".join(page["control_instances"])
                    raise OperatorRefused(
                        404, NotControlInstance.reason, f"ask one of {control_ids}", {}
                    )
                lagging = [
                    str(row["node"])
                    for row in page["nodes"]
                    if row["version"] is None or row["version"] < version
                ]
                if not lagging:
                    return
                await trio.sleep(RETRY_DELAY_MS / MS_PER_S)
        raise VersionLags(version, lagging or ["any node that was asked"])

    @staticmethod
    async def _delay_retry(attempt: int) -> None:
        if attempt:
            await trio.sleep(RETRY_DELAY_MS * attempt / MS_PER_S)

    async def _connect(self) -> trio.abc.Stream:
        return await trio.open_tcp_stream(self._address.host, self._address.port)

    async def _exchange(self, method: str, path: str, body: dict[str, Any] | None) -> Any:
        stream = await self._open_with_timeout()
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_MS / MS_PER_S):
                return await self._send_request(stream, method, path, body)
        except trio.TooSlowError:
            raise _ResponseLost(f"no response within {RESPONSE_TIMEOUT_MS} ms") from None
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError) as exc:
            raise _ResponseLost(f"the connection failed: {exc}") from None
        finally:
            await trio.aclose_forcefully(stream)

    async def _open_with_timeout(self) -> trio.abc.Stream:
        try:
            with trio.fail_after(CONNECT_TIMEOUT_MS / MS_PER_S):
                return await self._open_stream()
        except (OSError, trio.TooSlowError, BaseExceptionGroup) as exc:
            raise OperatorUnreachable(
                f"no connection to {self._address}: {exc or 'timeout'}"
            ) from None

    async def _send_request(
        self, stream: trio.abc.Stream, method: str, path: str, body: dict[str, Any] | None
    ) -> Any:
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        payload = json.dumps(body).encode("ascii") if body is not None else b""
        headers = [
            ("Host", str(self._address)),
            ("Authorization", f"Bearer {self._token}"),
            ("Content-Length", str(len(payload))),
            ("Connection", "close"),
        ]
        data = conn.send(h11.Request(method=method, target=path, headers=headers)) or b""
        data += (conn.send(h11.Data(payload)) or b"") if payload else b""
        data += conn.send(h11.EndOfMessage()) or b""
        is_sent = True
        try:
            await stream.send_all(data)
        except trio.BrokenResourceError:
            # A listener that refuses early closes the connection; its response is still readable.
            is_sent = False
        return await self._receive(stream, conn, is_sent=is_sent)

    async def _receive(
        self, stream: trio.abc.Stream, conn: h11.Connection, *, is_sent: bool
    ) -> Any:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                received = bytes(await stream.receive_some(READ_BYTES))
                if not received and not is_sent:
                    # The failed write has taken the error of a reset, which now looks like an end.
                    raise _ResponseLost("the connection closed while the request was sent")
                conn.receive_data(received)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    raise _ResponseLost(f"the response is over {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _decode_response(head, bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise _ResponseLost("the connection closed before a complete response")


def _decode_response(head: h11.Response, body: bytes) -> Any:
    headers = dict(head.headers)
    kind = headers.get(b"content-type", b"")
    if not kind.startswith(b"application/json"):
        if head.status_code == 200:
            return body.decode("utf-8", errors="replace")
        raise OperatorRefused(head.status_code, "not-an-operator-listener", "check the address", {})
    try:
        response = json.loads(body)
    except (ValueError, RecursionError):
        raise _ResponseLost("the response is not JSON") from None
    if head.status_code < 300:
        return response
    fields = response if isinstance(response, dict) else {}
    refusal = OperatorRefused(
        head.status_code, str(fields.get("error", "")), str(fields.get("detail", "")), fields
    )
    if head.status_code == OrderRedirected.status:
        raise _Redirected(refusal, headers.get(b"location", b"").decode("latin-1"))
    raise refusal


def parse_address(text: str) -> Address:
    """Parse HOST:PORT or [HOST]:PORT; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return Address(host.removeprefix("[").removesuffix("]"), int(port))
