"""The orders that are sent to an engine."""

import asyncio
from types import SimpleNamespace

import orjson
import pytest
from wasabideck_adapter.engine import EngineClient
from wasabideck_policy.engine_state import OrderResponse


@pytest.fixture
def orders():
    """Bodies of the orders that ``engine`` has sent."""
    return []


@pytest.fixture
def engine(orders):
    async def call(method, path, body, **kw):
        orders.append(orjson.loads(body))
        return 202 if len(orders) == 1 else 409, b""

    return EngineClient(SimpleNamespace(call=call))


def test_order_carries_number_of_accepted_orders(engine, orders):
    # Guards against an order that the engine accepts after a newer one, and that
    # reverts the newer one.
    replies = [asyncio.run(engine.load("m", 2, True, accepted=7)) for _ in range(2)]
    assert replies == [OrderResponse.STARTED, OrderResponse.REFUSED]
    assert [order["expected-rev"] for order in orders] == [7, 7]


def test_unload_orders_an_empty_range_of_layers(engine, orders):
    # Guards against an engine that loads half of a version when old weights are
    # unloaded.
    assert asyncio.run(engine.unload("m", 3, accepted=1)) is OrderResponse.STARTED
    [order] = orders
    assert (order["from"], order["to"], order["switch-mode"]) == (0, 0, "queue")
    assert (order["version"], order["expected-rev"]) == (3, 1)
