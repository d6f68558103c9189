"""The damask-standin program: origin, weight store, engine and service."""

import asyncio
import pathlib
from typing import Annotated

import typer
from starlette.routing import Route

from damaskcroft.observe import start_logs
from damaskcroft.rpc import logging_start_failure, serve_http, stop_event
from damaskcroft.standins._engine import StandInEngine
from damaskcroft.standins._journal import Journal
from damaskcroft.standins._passthrough import PassThrough
from damaskcroft.standins._service import StandInService
from damaskcroft.standins._weights import WeightServer

app = typer.Typer(
    pretty_exceptions_enable=False, add_completion=False, no_args_is_help=True
)

Listen = Annotated[str, typer.Option(help="IP address and port")]
JournalFile = Annotated[pathlib.Path, typer.Option(help="the run journal")]


@app.command()
def weights(
    folder: pathlib.Path,
    listen: Listen,
    rate_bytes_s: float = 1e9,
    requests_per_s: float = 0.0,
    corrupt_every: int = 0,
) -> None:
    """Serves weights, as the origin or the rate-limited store."""
    server = WeightServer(folder, rate_bytes_s, requests_per_s, corrupt_every)
    _serve(listen, server.routes())


@app.command()
def engine(
    listen: Listen,
    journal: JournalFile,
    slots: int = 8,
    token_s: float = 0.005,
    checks_fencing: bool = False,
    fails_version: str = "",
) -> None:
    """Runs a model engine."""
    stand_in = StandInEngine(
        Journal(journal), slots, token_s, checks_fencing, fails_version
    )
    _serve(listen, stand_in.routes())


@app.command()
def service(listen: Listen, journal: JournalFile, work_s: float = 0.01) -> None:
    """Runs a plain service."""
    _serve(listen, StandInService(Journal(journal), work_s).routes())


@app.command()
def passthrough(listen: Listen, target: str) -> None:
    """Passes completions straight to one target: the bench's baseline."""
    _serve(listen, PassThrough(target).routes())


def main() -> None:
    """Entry point of the program."""
    app()


def _serve(listen: str, routes: list[Route]) -> None:
    start_logs(f"standin-{listen}")

    async def run() -> None:
        stop = stop_event()
        async with serve_http(listen, routes):
            await stop.wait()

    with logging_start_failure(OSError):
        asyncio.run(run())
