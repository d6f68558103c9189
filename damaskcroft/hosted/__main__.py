"""Runs one of the programs on a machine of the platform."""

import signal

# A signal to read the settings again may come before the handler stands; it
# would end the process. Imports take 0.1 s, and 0.6 s and more were seen on a
# machine with three times as much work as processors. The settings are read
# after them anyhow.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import importlib  # noqa: E402
from typing import Annotated  # noqa: E402

import typer  # noqa: E402

from damaskcroft.hosted.process import run_hosted  # noqa: E402

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)

_MetricsPort = Annotated[
    int, typer.Option(help="port for /metrics on the machine's address")
]


@app.command()
def entry(metrics_port: _MetricsPort = 0) -> None:
    """Takes callers' requests."""
    _run("entry", metrics_port)


@app.command()
def control(metrics_port: _MetricsPort = 0) -> None:
    """Keeps the configuration and hears announcements."""
    _run("control", metrics_port)


@app.command()
def agent(metrics_port: _MetricsPort = 0) -> None:
    """Brings weights to the target beside it."""
    _run("agent", metrics_port)


def _run(role: str, metrics_port: int) -> None:
    # Only the program that runs is imported: starting takes processor time.
    program = importlib.import_module(f"damaskcroft.hosted.{role}")
    run_hosted(role, program.serve, metrics_port)


if __name__ == "__main__":
    app()
