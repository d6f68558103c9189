"""damask-control: one replica of the log, on an instance with a disk."""

import pathlib
import sys
from typing import Annotated

import typer
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from damaskcroft._generated import settings_pb2
from damaskcroft.config import settings_or_exit
from damaskcroft.consensus import (
    ConsensusError,
    FolderDisk,
    GrpcTransport,
    Replica,
    ReplicaOptions,
    ReplicaService,
    format_disk,
)
from damaskcroft.control._proposer import Proposer
from damaskcroft.control._quarantine_service import QuarantineService
from damaskcroft.control._reconciler import Reconciler
from damaskcroft.control._service import ControlService
from damaskcroft.control._state import ControlState
from damaskcroft.membership import LeaseLedger
from damaskcroft.observe import log_event
from damaskcroft.rpc import (
    ChannelPool,
    Keys,
    grpc_served,
    http_served,
    run_daemon,
    stop_event,
)
from damaskcroft.tasks import background

_EXIT_CANNOT_FORMAT = 3
_INSTALL_TIMEOUT_S = 60.0
# A leader that ends hands over; after that an election is about as quick.
_HAND_OVER_S = 0.6

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


def _members(settings: settings_pb2.ControlSettings) -> dict[str, str]:
    pairs = (member.split("=", 1) for member in settings.replica.members)
    return {pair[0].strip(): pair[-1].strip() for pair in pairs}


def _disk(settings: settings_pb2.ControlSettings) -> FolderDisk:
    return FolderDisk(pathlib.Path(settings.process.data_folder) / "log")


async def serve(settings: settings_pb2.ControlSettings, keys: Keys) -> None:
    """Runs one replica until SIGTERM or SIGINT.

    Raises:
        ConsensusError: the data folder can't be used.
        OSError: an address can't be bound.
    """
    stop = stop_event()
    pool = ChannelPool(keys)
    rules = settings.replica
    state = ControlState(
        int(rules.claim_kept_s * 1000), rules.claims_per_customer
    )
    transport = GrpcTransport(
        pool, rules.election_timeout_s, _INSTALL_TIMEOUT_S
    )
    options = ReplicaOptions(
        id=rules.id,
        address=settings.process.listen,
        first_members=_members(settings),
        election_timeout_s=rules.election_timeout_s,
        heartbeat_s=rules.heartbeat_s,
        snapshot_entries=rules.snapshot_entries,
    )
    replica = Replica(options, _disk(settings), transport, state)
    proposer = Proposer(replica, state)
    ledger = LeaseLedger(rules.lease_s)
    reconciler = Reconciler(proposer, ledger)
    control = ControlService(proposer, ledger, reconciler)
    services = [
        ReplicaService(replica),
        control,
        QuarantineService(
            ledger.crashes,
            control.tell_crashes,
            lambda: replica.is_confirmed_leader,
        ),
    ]

    async def ready(_: Request) -> Response:
        body = {"leader": replica.leader_address, "term": replica.term}
        return JSONResponse(body, 200 if replica.leader_id else 503)

    async with grpc_served(settings.process.listen, services, keys):
        async with http_served(
            settings.process.http_listen, [Route("/readyz", ready)]
        ) as face:
            await replica.start()
            log_event("started", id=rules.id, incarnation=replica.incarnation)
            async with background(reconciler.run):
                await stop.wait()
                log_event("stopping", id=rules.id)
                face.give_notice()
                await replica.hand_over(_HAND_OVER_S, for_good=True)
        await replica.stop()
    pool.close()


@app.command()
def run(
    settings_file: Annotated[pathlib.Path | None, typer.Argument()] = None,
    check: Annotated[bool, typer.Option(help="only check settings")] = False,
    reference: Annotated[
        bool, typer.Option(help="print every setting")
    ] = False,
    format_data_folder: Annotated[
        bool,
        typer.Option(
            "--format", help="prepare the empty folder of a new cluster; once"
        ),
    ] = False,
) -> None:
    """Runs one control replica."""
    if format_data_folder:
        _format(settings_file)
        return
    run_daemon(
        settings_file,
        settings_pb2.ControlSettings,
        serve,
        check=check,
        reference=reference,
        errors=(ConsensusError,),
    )


def _format(settings_file: pathlib.Path | None) -> None:
    settings = settings_or_exit(
        settings_file,
        settings_pb2.ControlSettings,
        check=False,
        reference=False,
    )
    try:
        format_disk(_disk(settings), _members(settings))
    except (ConsensusError, OSError) as error:
        print(error, file=sys.stderr)
        raise SystemExit(_EXIT_CANNOT_FORMAT) from error


def main() -> None:
    """Entry point of the program."""
    app()
