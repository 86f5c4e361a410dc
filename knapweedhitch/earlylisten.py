"""Listening sockets that are opened before the services are loaded.

Loading takes most of the time of a start. Callers whose connection is accepted meanwhile wait for
the rest of the start, while a refused connection would fail their request.
"""

from __future__ import annotations

import socket

# The kernel lowers this to its own limit.
BACKLOG = 65_535

_sockets: dict[tuple[str, int], socket.socket] = {}


def open_socket(host: str, port: int) -> None:
    """Listen at an address until a service takes the socket; raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    _sockets[host, port] = sock


def take_socket(host: str, port: int) -> socket.socket | None:
    """Return the socket that was opened for an address, None if there is none."""
    return _sockets.pop((host, port), None)
