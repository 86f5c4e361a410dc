"""Tests of the task that closes idle connections to upstreams."""

from __future__ import annotations

import unittest

import trio
import trio.testing

from knapweedhitch.http1_client import ClientConnection
from knapweedhitch.kernel import Kernel
from knapweedhitch.model import Address
from knapweedhitch.pool import Pool
from knapweedhitch.settings import UpstreamSettings
from tests.fake_net import make_settings

FIRST, SECOND = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
STALE_AFTER_S = 20


class ClosingStream:
    """Wait at a checkpoint while it closes, as a socket does."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool

    async def aclose(self) -> None:
        # Another task meets a silent connection to the other upstream meanwhile.
        await self._pool._close_idle(SECOND)


class SweepTest(unittest.TestCase):
    def test_upstream_dropped_during_a_sweep_does_not_end_the_process(self) -> None:
        """Guards against a KeyError in the sweep, which ends the process and all requests in it,
        when another task drops the connections to an upstream while the sweep closes one.
        """

        async def main() -> None:
            pool = Pool(Kernel(make_settings("n0")))
            for address in (FIRST, SECOND):
                conn = ClientConnection(ClosingStream(pool), UpstreamSettings())  # type: ignore[arg-type]
                pool._idle[address] = [conn]
                pool._idle_count += 1
            await trio.sleep(STALE_AFTER_S)
            with trio.move_on_after(5):
                await pool._sweep()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
