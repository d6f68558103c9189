"""damask-control: runs one replica of the control log.

The replica stores its log below the data folder, so that it needs a disk.
"""

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
    run_daemon,
    serve_grpc,
    serve_http,
    stop_event,
)
from damaskcroft.tasks import background

_EXIT_FORMAT_FAILED = 3
_SNAPSHOT_TRANSFER_TIMEOUT_S = 60.0
# A stopping leader transfers its leadership. Waiting longer than this gains
# nothing, because an election takes about as long.
_LEADERSHIP_TRANSFER_TIMEOUT_S = 0.6

app = typer.Typer(pretty_exceptions_enable=False, add_completion=False)


def _members(settings: settings_pb2.ControlSettings) -> dict[str, str]:
    pairs = (member.split("=", 1) for member in settings.replica.members)
    return {pair[0].strip(): pair[-1].strip() for pair in pairs}


def _disk(settings: settings_pb2.ControlSettings) -> FolderDisk:
    return FolderDisk(pathlib.Path(settings.process.data_folder) / "log")


async def serve(settings: settings_pb2.ControlSettings, keys: Keys) -> None:
    """Runs one replica until it receives SIGTERM or SIGINT.

    Raises:
        ConsensusError: the data folder is not usable.
        OSError: an address cannot be bound.
    """
    stop = stop_event()
    pool = ChannelPool(keys)
    replica_settings = settings.replica
    state = ControlState(
        int(replica_settings.claim_kept_s * 1000),
        replica_settings.claims_per_customer,
    )
    transport = GrpcTransport(
        pool, replica_settings.election_timeout_s, _SNAPSHOT_TRANSFER_TIMEOUT_S
    )
    options = ReplicaOptions(
        id=replica_settings.id,
        address=settings.process.listen,
        first_members=_members(settings),
        election_timeout_s=replica_settings.election_timeout_s,
        heartbeat_s=replica_settings.heartbeat_s,
        snapshot_entries=replica_settings.snapshot_entries,
    )
    replica = Replica(options, _disk(settings), transport, state)
    proposer = Proposer(replica, state)
    ledger = LeaseLedger(replica_settings.lease_s)
    reconciler = Reconciler(proposer, ledger)
    control = ControlService(proposer, ledger, reconciler)
    services = [
        ReplicaService(replica),
        control,
        QuarantineService(
            ledger.crashes,
            control.publish_crashes,
            lambda: replica.is_confirmed_leader,
        ),
    ]

    async def ready(_: Request) -> Response:
        body = {"leader": replica.leader_address, "term": replica.term}
        return JSONResponse(body, 200 if replica.leader_id else 503)

    async with serve_grpc(settings.process.listen, services, keys):
        async with serve_http(
            settings.process.http_listen, [Route("/readyz", ready)]
        ) as http_server:
            await replica.start()
            log_event(
                "started",
                id=replica_settings.id,
                incarnation=replica.incarnation,
            )
            async with background(reconciler.run):
                await stop.wait()
                log_event("stopping", id=replica_settings.id)
                http_server.announce_shutdown()
                await replica.transfer_leadership(
                    _LEADERSHIP_TRANSFER_TIMEOUT_S, before_shutdown=True
                )
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
            "--format",
            help="format the empty data folder of a new cluster, once",
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
        raise SystemExit(_EXIT_FORMAT_FAILED) from error


def main() -> None:
    """Runs the command-line program."""
    app()
