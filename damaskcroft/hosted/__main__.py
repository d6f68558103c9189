"""Runs one of the hosted programs on a machine of the platform."""

import gc
import signal

# SIGHUP requests a reload of the settings. One that arrives before its handler
# is installed would end the process, so it is ignored during the imports. They
# take 0.1 s, and 0.6 s and more on a machine with three times as many busy
# processes as processors. The settings are read after the imports anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imported objects are never freed. Garbage collection among them would add a
# sixth to the time of the imports.
gc.disable()

import argparse  # noqa: E402
import functools  # noqa: E402
import importlib  # noqa: E402

from damaskcroft.hosted.process import run_hosted  # noqa: E402

_HELP_BY_ROLE = {
    "entry": "forwards callers' requests to targets",
    "control": "stores the configuration and receives announcements",
    "agent": "fetches weights for the target on its machine",
}


def main() -> None:
    """Runs the program selected on the command line."""
    arguments = _parser().parse_args()
    # Imports only the selected program, because imports cost processor time at
    # each start.
    program = importlib.import_module(f"damaskcroft.hosted.{arguments.role}")
    gc.freeze()
    gc.enable()
    serve = program.serve
    if arguments.role == "entry":
        serve = functools.partial(serve, hedge_share=arguments.hedge_share)
    run_hosted(arguments.role, serve, arguments.metrics_port)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m damaskcroft.hosted", description=__doc__
    )
    roles = parser.add_subparsers(dest="role", required=True)
    for role, help_text in _HELP_BY_ROLE.items():
        role_parser = roles.add_parser(role, help=help_text)
        role_parser.add_argument(
            "--metrics-port",
            type=int,
            default=0,
            help="port for /metrics on the machine's address; 0 for none",
        )
        if role == "entry":
            role_parser.add_argument(
                "--hedge-share",
                type=_share,
                default=0.0,
                help="second attempts for slow requests, as a share of all"
                " requests of a service; 0 for none",
            )
    return parser


def _share(text: str) -> float:
    share = float(text)
    if not 0 <= share <= 1:
        raise ValueError("not between 0 and 1")
    return share


if __name__ == "__main__":
    main()
