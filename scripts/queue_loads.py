"""Loads for replays of admission queues.

The rates are for a part of a deployment, whose targets are reduced in the same proportion.
"""

from __future__ import annotations

from scripts.queue_replay import CallKind, Load, RequestKind, Surge

CALL = CallKind("fleet", 2, 36.0, 120.0, 400.0, 1)
RIDES = (
    RequestKind("lookup", "rides", 67.0, 140.0, 390.0, 990.0, 1, 0.95, 1, CALL),
    RequestKind("booking", "rides", 20.5, 190.0, 790.0, 1_190.0, 2, 0.95),
    RequestKind("settle", "fleet", 17.0, 100.0, 290.0, 990.0, 1, 2.8),
    RequestKind("eta", "fleet", 17.0, 57.0, 190.0, 590.0, 0, 3.6),
)
RIDES_SERVICES = {"rides": (20, 2), "fleet": (6, 2)}
BOOKINGS = Surge(3_000, 9_000, 2.4, "booking")
QUOTES = (
    RequestKind("quote", "quotes", 60.0, 162.0, 545.0, 3_060.0, 2, 1.0, 2,
                CallKind("policies", 1, 48.5, 220.0, 530.0, 2)),
    RequestKind("binding", "policies", 21.0, 215.0, 680.0, 4_200.0, 1, 2.0, 2),
    RequestKind("binding2", "quotes", 6.0, 215.0, 680.0, 4_200.0, 1, 2.0, 2),
)  # fmt: skip
CATALOGUE = (
    RequestKind("robe", "catalogue", 67.0, 120.0, 390.0, 990.0, 2, 1.0, 1,
                CallKind("bookings", 2, 30.0, 115.0, 395.0, 2)),
    RequestKind("commit", "bookings", 31.0, 160.0, 490.0, 1_190.0, 1, 2.0, 1,
                CallKind("wardrobe", 2, 30.0, 115.0, 395.0, 1)),
    RequestKind("upload", "wardrobe", 6.5, 140.0, 490.0, 1_190.0, 1, 2.0),
    RequestKind("size", "wardrobe", 23.0, 48.0, 140.0, 395.0, 1, 2.0),
)  # fmt: skip
CATALOGUE_SERVICES = {"catalogue": (4, 7), "bookings": (3, 7), "wardrobe": (3, 7)}
CAFE = (
    RequestKind("shift", "rota", 155.0, 90.0, 290.0, 1_990.0, 2, 1.0, 2,
                CallKind("pay", 2, 22.0, 95.0, 245.0, 2)),
    RequestKind("cover", "rota", 60.0, 120.0, 290.0, 2_490.0, 1, 2.0, 2),
    RequestKind("payout", "pay", 37.0, 63.0, 190.0, 1_190.0, 0, 3.0, 2),
)  # fmt: skip
CAFE_SERVICES = {"rota": (9, 10), "pay": (3, 10)}


def _customers(count: int, exponent: float) -> tuple[tuple[str, float], ...]:
    """Return customers whose shares fall with their rank, the largest first."""
    weights = [1.0 / rank**exponent for rank in range(1, count + 1)]
    return tuple((f"c{rank}", weight / sum(weights)) for rank, weight in enumerate(weights, 1))


def _surge(*ranks: int, factor: float = 8.0) -> tuple[Surge, ...]:
    return tuple(Surge(4_000, 14_000, factor, customer=f"c{rank}") for rank in ranks)


def _busy(factor: float) -> tuple[Surge, ...]:
    return (Surge(3_000, 17_000, factor),)


CUSTOMERS = _customers(40, 1.2)
# The fifth customer sends only bookings, which need most work.
DEAR_ONLY = (("c5", "booking"),)


LOADS = {
    "one-surge": Load(RIDES_SERVICES, RIDES, (*_surge(4), *_busy(1.4)), customers=CUSTOMERS),
    "urgent-surge": Load(
        RIDES_SERVICES, RIDES, (*_surge(4), *_busy(1.4)), customers=CUSTOMERS, urgent="c4"
    ),
    "largest-surge": Load(RIDES_SERVICES, RIDES, _surge(1), customers=CUSTOMERS),
    "three-surges": Load(RIDES_SERVICES, RIDES, _surge(1, 2, 3), customers=CUSTOMERS),
    "dear-surge": Load(
        RIDES_SERVICES,
        RIDES,
        (*_surge(5, factor=60.0), *_busy(1.5)),
        customers=CUSTOMERS,
        customer_kinds=DEAR_ONLY,
    ),
    "all-surge": Load(RIDES_SERVICES, RIDES, (Surge(4_000, 14_000, 2.2),), customers=CUSTOMERS),
    "alone": Load(RIDES_SERVICES, RIDES, (Surge(4_000, 14_000, 1.5),), customers=(("c1", 1.0),)),
    "rides-usual": Load(RIDES_SERVICES, RIDES),
    "rides-bookings": Load(RIDES_SERVICES, RIDES, (BOOKINGS,)),
    "rides-busy": Load(RIDES_SERVICES, RIDES, (BOOKINGS, *_busy(1.4))),
    "rides-crowd": Load(RIDES_SERVICES, RIDES, _busy(2.2)),
    "quotes-busy": Load({"quotes": (10, 5), "policies": (6, 5)}, QUOTES, _busy(1.8)),
    "quotes-crowd": Load({"quotes": (10, 5), "policies": (6, 5)}, QUOTES, _busy(2.6)),
    "catalogue-usual": Load(CATALOGUE_SERVICES, CATALOGUE),
    "catalogue-busy": Load(CATALOGUE_SERVICES, CATALOGUE, _busy(1.5)),
    "catalogue-crowd": Load(CATALOGUE_SERVICES, CATALOGUE, _busy(2.2)),
    "cafe-busy": Load(CAFE_SERVICES, CAFE, _busy(1.6)),
    "cafe-crowd": Load(CAFE_SERVICES, CAFE, _busy(2.4)),
}
