"""HTTP calls of operators that evacuate failure domains, and malformed ones."""

import asyncio

import pytest
from starlette.applications import Starlette

from damaskcroft.control import Accepted, Invalid, Unavailable
from damaskcroft.platform.control_face import control_routes


class RecordingControl:
    """Records orders and answers each with a fixed outcome."""

    def __init__(self, outcome):
        self.orders = []
        self._outcome = outcome

    async def evacuate(self, failure_domain, *, evacuated, caller):
        assert not await caller.has_left()
        self.orders.append((failure_domain, evacuated))
        return self._outcome


def call(control, path, method="POST", body=b""):
    """Makes a call without a network; returns its status."""
    statuses = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    scope = {
        "type": "http", "method": method, "headers": [], "path": path,
        "query_string": b"", "raw_path": b"", "root_path": "",
        "http_version": "1.1", "scheme": "http",
    }  # fmt: skip
    asyncio.run(Starlette(routes=control_routes(control))(scope, receive, send))
    return statuses[0]


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (Accepted(3), 200),
        (Invalid("no such failure domain"), 400),
        (Unavailable("no leader known"), 503),
    ],
)
def test_each_outcome_has_its_status(outcome, status):
    control = RecordingControl(outcome)
    assert call(control, "/api/evacuate/d1/start") == status
    assert call(control, "/api/evacuate/d1/end") == status
    assert control.orders == [("d1", True), ("d1", False)]


@pytest.mark.parametrize("body", [b"", b"{}", b"\xff" * 1000, b"[" * 9999])
def test_the_body_of_an_order_is_ignored(body):
    control = RecordingControl(Accepted(1))
    assert call(control, "/api/evacuate/d1/start", body=body) == 200


@pytest.mark.parametrize(
    ("path", "method"),
    [
        ("/api/evacuate/d1", "POST"),
        ("/api/evacuate//start", "POST"),
        ("/api/evacuate/d1/pause", "POST"),
        ("/api/evacuate/d1/d2/start", "POST"),
        ("/api/evacuate/d1/start", "GET"),
    ],
)
def test_a_malformed_order_changes_nothing(path, method):
    control = RecordingControl(Accepted(1))
    assert 400 <= call(control, path, method) < 500
    assert not control.orders
