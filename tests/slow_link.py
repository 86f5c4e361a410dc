"""A TCP relay that delivers everything late, for tests with real processes."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import threading
import time
from collections.abc import Callable

READ_BYTES = 65_536


class SlowLink:
    """Relay connections to one address; all bytes and closes come `delay_s` later, both ways.

    With `delays_connect`, the connection to the address is opened as late as its first bytes come.
    With `drops_responses`, nothing comes back.
    """

    def __init__(
        self,
        address: str,
        delay_s: float,
        *,
        delays_connect: bool = False,
        drops_responses: bool = False,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._delay_s = delay_s
        self._delays_connect = delays_connect
        self._drops_responses = drops_responses
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._sockets = [self._listener]
        self._selector = selectors.DefaultSelector()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._stopping = threading.Event()
        self._selector.register(self._listener, selectors.EVENT_READ, self._accept)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """Return the address at which the relay listens."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self) -> None:
        """Stop relaying and close all connections."""
        self._stopping.set()
        self._thread.join()
        self._selector.close()
        for sock in self._sockets:
            sock.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, _ in self._selector.select(0.01):
                key.data()
            while self._due and self._due[0][0] <= time.monotonic():
                with contextlib.suppress(OSError):
                    heapq.heappop(self._due)[2]()

    def _after_delay(self, fn: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time.monotonic() + self._delay_s, next(self._number), fn))

    def _accept(self) -> None:
        caller, _ = self._listener.accept()
        server = socket.socket()
        self._sockets += [caller, server]

        def connect() -> None:
            server.connect(self._target)
            self._selector.register(server, selectors.EVENT_READ, lambda: self._relay(server, back))

        back = None if self._drops_responses else caller
        if self._delays_connect:
            self._after_delay(connect)
        else:
            connect()
        self._selector.register(caller, selectors.EVENT_READ, lambda: self._relay(caller, server))

    def _relay(self, src: socket.socket, dst: socket.socket | None) -> None:
        try:
            data = src.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self._selector.unregister(src)
        if dst is None:
            return
        if data:
            self._after_delay(lambda: dst.sendall(data))
        else:
            self._after_delay(lambda: dst.shutdown(socket.SHUT_WR))
