"""Orders as a model server of the platform receives them."""

import asyncio
import math

import pytest
from starlette.responses import Response
from starlette.routing import Route

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import OrderAccepted, OrderExpired, OrderRefused
from damaskcroft.platform.engine import PlatformEngine
from damaskcroft.rpc import serve_http
from damaskcroft.standins.loopback import free_address


@pytest.fixture
def address():
    return free_address()


def send_order(address, order, status=202):
    """Returns the orders that a server received, and the outcome."""
    received = []

    async def receive(request):
        received.append(await request.json())
        return Response(status_code=status)

    async def scenario():
        routes = [Route("/api/order", receive, methods=["POST"])]
        async with serve_http(address, routes):
            engine = PlatformEngine(address)
            outcome = await order(engine)
            await engine.close()
            return outcome

    outcome = asyncio.run(scenario())
    return received, outcome


def start_before(before_s):
    """Returns an order to load version 2, to be sent before a loop time."""

    async def order(engine):
        return await engine.start(
            "m", 2, 5, abort_running=True, before_s=before_s
        )

    return order


def test_order_is_not_sent_after_its_time(address):
    """Guards against a load of pieces that were verified too long ago."""
    received, outcome = send_order(address, start_before(0.0))
    assert outcome == OrderExpired()
    assert not received


def test_order_of_a_complete_version_has_no_layer_range(address):
    received, outcome = send_order(address, start_before(math.inf))
    assert outcome == OrderAccepted()
    assert received == [
        {
            "operation": "start",
            "model": "m",
            "version": 2,
            "switch_mode": "abort",
            "precondition": 5,
        }
    ]


def test_order_to_drop_layers_states_the_range_that_stays(address):
    part = fleet_pb2.HeldLayers(
        model="m", version=1, first_layer=0, end_layer=1
    )
    received, outcome = send_order(
        address, lambda engine: engine.keep_only(part, 5), status=409
    )
    assert isinstance(outcome, OrderRefused)
    assert received == [
        {
            "operation": "start",
            "model": "m",
            "version": 1,
            "switch_mode": "wait",
            "precondition": 5,
            "from": 0,
            "target": 1,
        }
    ]
