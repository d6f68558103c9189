"""Orders as a model server of the platform gets them."""

import asyncio

import pytest
from starlette.responses import Response
from starlette.routing import Route

from damaskcroft._generated import fleet_pb2
from damaskcroft.engines import OrderAccepted, OrderRefused
from damaskcroft.platform.engine import PlatformEngine
from damaskcroft.rpc import http_served
from damaskcroft.standins.loopback import free_address


@pytest.fixture
def address():
    return free_address()


def ordered(address, order, status=202):
    """What a server was sent, and the outcome."""
    got = []

    async def take(request):
        got.append(await request.json())
        return Response(status_code=status)

    async def scenario():
        routes = [Route("/api/order", take, methods=["POST"])]
        async with http_served(address, routes):
            engine = PlatformEngine(address)
            outcome = await order(engine)
            await engine.close()
            return outcome

    outcome = asyncio.run(scenario())
    return got, outcome


def test_a_whole_version_is_ordered_without_a_range(address):
    got, outcome = ordered(
        address, lambda engine: engine.start("m", 2, 5, cut_running=True)
    )
    assert outcome == OrderAccepted()
    assert got == [
        {
            "operation": "start",
            "model": "m",
            "version": 2,
            "switch_mode": "abort",
            "precondition": 5,
        }
    ]


def test_giving_up_layers_names_those_that_stay(address):
    part = fleet_pb2.HeldLayers(
        model="m", version=1, first_layer=0, end_layer=1
    )
    got, outcome = ordered(
        address, lambda engine: engine.keep_only(part, 5), status=409
    )
    assert isinstance(outcome, OrderRefused)
    assert got == [
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
