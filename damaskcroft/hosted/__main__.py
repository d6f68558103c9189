"""Runs one of the programs on a machine of the platform."""

import typer

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


@app.command()
def entry() -> None:
    """Takes callers' requests."""
    from damaskcroft.hosted import entry as program
    from damaskcroft.hosted.process import run_hosted

    run_hosted("entry", program.serve)


@app.command()
def control() -> None:
    """Keeps the configuration and hears announcements."""
    from damaskcroft.hosted import control as program
    from damaskcroft.hosted.process import run_hosted

    run_hosted("control", program.serve)


@app.command()
def agent() -> None:
    """Brings weights to the target beside it."""
    from damaskcroft.hosted import agent as program
    from damaskcroft.hosted.process import run_hosted

    run_hosted("agent", program.serve)


if __name__ == "__main__":
    app()
