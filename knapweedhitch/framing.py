"""Validation of raw HTTP/1.1 heads and filtering of headers between hops."""

from __future__ import annotations

import dataclasses
import os
import re
from collections.abc import Iterable, Mapping

from knapweedhitch.exceptions import AmbiguousFraming, BadRequest, HeaderTooLarge, UpgradeRefused
from knapweedhitch.exchange import CallSpec, Headers
from knapweedhitch.model import IDEMPOTENT_METHODS, SAFE_METHODS
from knapweedhitch.settings import HeaderSettings

HEAD_END = b"\r\n\r\n"
# Allowed for each part of a body: the size of its chunk, two line ends and a short extension.
CHUNK_FRAMING_BYTES = 16
# Chunk extensions can be of any length and number. Nobody needs them, and they would keep a
# connection busy without a body.
MAX_FRAMING_BYTES = 65_536
# Any 18-digit length fits in 64 bits.
MAX_LENGTH_DIGITS = 18
# RFC 9110: the classes 1xx to 5xx, of which 1xx is never final.
FINAL_STATUSES = range(200, 600)
VALID_REQUEST_ID = re.compile(rb"[!-~]{1,128}\Z")
WHOLE_NUMBER = re.compile(rb"[0-9]{1,9}\Z")
KEEP_ALIVE_TIMEOUT = re.compile(
    rb"(?:\A|[,;\s])timeout\s*=\s*([0-9]{1,6})(?:[,;\s]|\Z)", re.IGNORECASE
)
# The part of an error of the parser in which it quotes a line.
QUOTED_BYTES = re.compile(r"b(?:ytearray\(b)?['\"].*", re.DOTALL)

DEADLINE = b"knapweedhitch-deadline-ms"
RETRIES = b"knapweedhitch-retries"
DEPTH = b"knapweedhitch-depth"
EXPLAIN = b"knapweedhitch-explain"
EXCHANGE = b"knapweedhitch-exchange"
OWN_PREFIX = b"knapweedhitch-"
KEY = b"idempotency-key"
REQUEST_ID = b"x-request-id"

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Describe the configured header names in lower case; an empty name is not used."""

    request_id: bytes
    deadline: bytes
    exchange: bytes
    retries: bytes
    depth: bytes
    expected_instance: bytes
    caller_service: bytes
    credential: bytes
    customer: bytes
    not_run: bytes
    load: bytes
    limit: bytes
    leaving: bytes
    cold: bytes
    instance: bytes
    # Must not be repeated, since two parsers could each use a different value.
    single_valued: frozenset[bytes]
    # Set by the load balancer on requests to upstreams, or left out; the caller's are dropped.
    overwritten: frozenset[bytes]


def header_names(cfg: HeaderSettings) -> HeaderNames:
    """Return the configured header names in the form in which headers are compared."""
    fields = {name: getattr(cfg, name).encode("ascii") for name in cfg.__struct_fields__}
    single = {b"host", b"content-length", KEY, EXPLAIN}
    single |= {fields[n] for n in ("request_id", "deadline", "retries", "depth", "credential")}
    overwritten = {
        fields[n] for n in ("request_id", "expected_instance", "caller_service", "exchange")
    }
    overwritten |= {fields[n] for n in ("deadline", "retries", "depth", "credential", "customer")}
    return HeaderNames(
        **fields,
        single_valued=frozenset(single - {b""}),
        overwritten=frozenset(overwritten - {b""}),
    )


DEFAULT_NAMES = header_names(HeaderSettings())


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Describe one parsed request; `headers` omits hop-by-hop fields and those of this system."""

    method: str
    target: bytes
    host: str
    headers: Headers
    # The values of the single-valued headers by name.
    control: Mapping[bytes, bytes]
    content_length: int | None
    has_body: bool


class FramingBytes:
    """Track the bytes of a body that are no data."""

    __slots__ = ("_excess_bytes",)

    def __init__(self) -> None:
        self._excess_bytes = 0

    def record_received(self, n_bytes: int) -> None:
        """Record bytes on the wire."""
        self._excess_bytes += n_bytes

    def record_data(self, n_bytes: int) -> None:
        """Record a part of the body."""
        self._excess_bytes -= n_bytes + CHUNK_FRAMING_BYTES

    @property
    def is_over_limit(self) -> bool:
        """Return whether the body has too much framing; call it when all data is recorded."""
        return self._excess_bytes > MAX_FRAMING_BYTES


def new_request_id() -> str:
    """Return a new random request id."""
    return os.urandom(12).hex()


def get_request_id(head: RequestHead, name: bytes) -> str:
    """Return the request id in a header, or a new one if it is missing or invalid."""
    value = head.control.get(name)
    if value is not None and VALID_REQUEST_ID.match(value):
        return value.decode("ascii")
    return new_request_id()


def parse_int_header(head: RequestHead, name: bytes) -> int | None:
    """Return the whole number in a header, None if it is missing; raises BadRequest."""
    value = head.control.get(name)
    if value is None:
        return None
    if not WHOLE_NUMBER.match(value):
        raise BadRequest(detail=f"{name.decode('ascii')}: use a whole number")
    return int(value)


def is_idempotent(method: str, headers: Headers) -> bool:
    """Return whether a request may be sent twice; an idempotency key asks for at most one run."""
    if method in SAFE_METHODS:
        return True
    return method in IDEMPOTENT_METHODS and all(name != KEY for name, _ in headers)


def may_repeat(spec: CallSpec) -> bool:
    """Return whether a call may be sent twice according to its route, or else its method."""
    if spec.idempotent is not None:
        return spec.idempotent
    return is_idempotent(spec.method, spec.headers)


def describe_problem(exc: Exception) -> str:
    """Return an error of the parser without the line it quotes, which may contain a key."""
    return QUOTED_BYTES.sub("...", str(exc))


def find_framing_problem(block: bytes) -> str:
    """Return why the framing of a raw head without its blank line is ambiguous, '' if it is not."""
    breaks = block.count(b"\r\n")
    if block.count(b"\n") != breaks or block.count(b"\r") != breaks:
        return "bare CR or LF"
    lengths: list[bytes] = []
    transfer_encodings: list[bytes] = []
    host_count = 0
    for line in block.split(b"\r\n")[1:]:
        if line[:1] in (b" ", b"\t"):
            return "folded header line"
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == b"content-length":
            lengths.append(value.strip(b" \t"))
        elif name == b"transfer-encoding":
            transfer_encodings.append(value.strip(b" \t").lower())
        elif name == b"host":
            host_count += 1
    return _find_field_problem(lengths, transfer_encodings, host_count)


def _find_field_problem(
    lengths: list[bytes], transfer_encodings: list[bytes], host_count: int
) -> str:
    if host_count > 1:
        return "several Host headers"
    if len(lengths) > 1:
        return "repeated Content-Length"
    if lengths and transfer_encodings:
        return "Content-Length with Transfer-Encoding"
    if lengths and not (lengths[0].isdigit() and len(lengths[0]) <= MAX_LENGTH_DIGITS):
        return "odd Content-Length"
    if transfer_encodings and transfer_encodings != [b"chunked"]:
        return "Transfer-Encoding other than chunked"
    return ""


def _parse_connection_tokens(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    tokens: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            tokens.update(token.strip().lower() for token in value.split(b","))
    return frozenset(tokens)


def parse_request(
    method: bytes,
    target: bytes,
    version: bytes,
    headers: list[tuple[bytes, bytes]],
    max_headers: int,
    names: HeaderNames = DEFAULT_NAMES,
) -> RequestHead:
    """Return the head with lower-case header names; raises a Refusal with status 4xx or 501."""
    if len(headers) > max_headers:
        raise HeaderTooLarge(detail=f"more than {max_headers} headers")
    tokens = _parse_connection_tokens(headers)
    if tokens & names.single_valued or any(token.startswith(OWN_PREFIX) for token in tokens):
        raise AmbiguousFraming(detail="Connection names a header that must be kept")
    control: dict[bytes, bytes] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    length: int | None = None
    chunked = False
    for name, value in headers:
        if name in names.single_valued:
            if name in control:
                raise BadRequest(detail=f"repeated {name.decode('ascii')}")
            control[name] = value
            if name == b"content-length":
                length = int(value)
        elif name == b"transfer-encoding":
            chunked = True
        elif name == b"upgrade":
            raise UpgradeRefused
        if name in HOP_BY_HOP or name in tokens or name == b"expect" or name in names.overwritten:
            continue
        if not name.startswith(OWN_PREFIX):
            forwarded.append((name, value))
    if method == b"CONNECT":
        raise UpgradeRefused
    if chunked and version < b"1.1":
        raise AmbiguousFraming(detail="Transfer-Encoding in HTTP/1.0")
    host = control.get(b"host", b"").decode("latin-1")
    return RequestHead(
        method=method.decode("ascii"),
        target=_to_origin_form(target, host),
        host=host,
        headers=tuple(forwarded),
        control=control,
        content_length=length,
        has_body=chunked or bool(length),
    )


def _to_origin_form(target: bytes, host: str) -> bytes:
    if target[:1] == b"/" or target == b"*":
        return target
    scheme, separator, rest = target.partition(b"://")
    authority, slash, path = rest.partition(b"/")
    if not separator or scheme.lower() not in (b"http", b"https"):
        raise BadRequest(detail="request target is neither a path nor an http URI")
    if authority.decode("latin-1").lower() != host.lower():
        raise AmbiguousFraming(detail="request target and Host name different hosts")
    return slash + path or b"/"


def response_headers(
    headers: list[tuple[bytes, bytes]], names: HeaderNames = DEFAULT_NAMES
) -> Headers:
    """Return the headers of an upstream's response to forward, without those of this system."""
    tokens = _parse_connection_tokens(headers) - {b"content-length"}
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP
        and name not in tokens
        and name != names.request_id
        and not name.startswith(OWN_PREFIX)
    )


def keep_alive_s(headers: Iterable[tuple[bytes, bytes]]) -> int | None:
    """Return the idle timeout in seconds that a Keep-Alive header states, or None."""
    for name, value in headers:
        if name == b"keep-alive" and (found := KEEP_ALIVE_TIMEOUT.search(value)):
            return int(found[1])
    return None


def content_length(headers: Headers) -> int | None:
    """Return the Content-Length of validated headers in bytes, None if it is missing."""
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
