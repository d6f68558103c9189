"""The program damaskctl, with which operators manage and inspect a fleet.

Exit codes: 0 success; 1 refused or not found; 2 invalid arguments or settings;
4 conflict with another operator; 5 no leader answered.
"""

import asyncio
import getpass
import json
import pathlib
import sys
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import typer

from damaskcroft._generated import control_pb2, settings_pb2
from damaskcroft.config import settings_or_exit
from damaskcroft.ctl import _log_lines, _views, _why
from damaskcroft.ctl._client import ControlClient, NoAnswer
from damaskcroft.quarantine import parse_suspect
from damaskcroft.rpc import ChannelPool, KeysError, load_keys
from damaskcroft.weights import build_manifest, manifest_digest

_EXIT_REFUSED = 1
_EXIT_USAGE = 2
_EXIT_CONFLICT = 4
_EXIT_NO_LEADER = 5
_LEADER_TIMEOUT_S = 10.0
_WATCH_INTERVAL_S = 1.0
_DEFAULT_CHUNK_BYTES = 4 * 1024 * 1024
_MANIFEST_NAME = "manifest.pb"

app = typer.Typer(pretty_exceptions_enable=False, no_args_is_help=True)

Settings = Annotated[
    pathlib.Path,
    typer.Option(envvar="DAMASKCTL_SETTINGS", help="operator settings, INI"),
]
AsJson = Annotated[bool, typer.Option("--json", help="JSON for scripts")]


@app.command()
def apply(
    file: Annotated[pathlib.Path, typer.Argument(help="the record, JSON")],
    settings: Settings,
    revision: Annotated[
        int | None,
        typer.Option(help="revision it replaces; default: the one seen now"),
    ] = None,
    request_id: Annotated[
        str, typer.Option(help="repeat it to resend after a lost answer")
    ] = "",
) -> None:
    """Writes or changes a record."""
    try:
        body = file.read_bytes()
        document = json.loads(body)
        kind, name = document["kind"], document["name"]
    except (OSError, ValueError, KeyError, TypeError) as error:
        _fail(f"{file}: needs JSON with kind and name: {error!r}", _EXIT_USAGE)
    request = control_pb2.WriteRequest(kind=kind, name=name, body=body)
    _write(settings, request, revision, request_id)


@app.command()
def withdraw(
    name: str,
    settings: Settings,
    kind: str = "deployment",
    revision: int | None = None,
    request_id: str = "",
) -> None:
    """Withdraws a record."""
    request = control_pb2.WriteRequest(kind=kind, name=name, withdraw=True)
    _write(settings, request, revision, request_id)


@app.command()
def drain(
    target: str,
    settings: Settings,
    undo: Annotated[bool, typer.Option(help="let it work again")] = False,
) -> None:
    """Drains a target, so that it gets no new requests."""
    request = control_pb2.WriteRequest(kind="drain", name=target)
    if undo:
        request.withdraw = True
    else:
        body = {"schema_version": 2, "kind": "drain", "name": target}
        request.body = json.dumps(body).encode()
    _write(settings, request, None, "")


@app.command()
def get(name: str, settings: Settings, kind: str = "deployment") -> None:
    """Shows one record as it was written."""
    reply = _read(settings)
    for record in reply.records:
        if (record.kind, record.name) == (kind, name):
            print(_views.record_json(record))
            return
    _fail(f"no {kind} named {name}", _EXIT_REFUSED)


@app.command("list")
def list_records(settings: Settings, as_json: AsJson = False) -> None:
    """Lists all records."""
    reply = _read(settings)
    text = _views.reply_json if as_json else _views.records_table
    print(text(reply))


@app.command()
def status(settings: Settings, as_json: AsJson = False) -> None:
    """Shows the leader, leases, applied revisions and rollouts."""
    reply = _read(settings)
    text = _views.reply_json if as_json else _views.status_text
    print(text(reply))


@app.command()
def watch(
    settings: Settings,
    seconds: Annotated[float, typer.Option(help="how long")] = 3600.0,
) -> None:
    """Shows the status repeatedly."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        reply = _read(settings)
        print("\x1b[2J\x1b[H" if sys.stdout.isatty() else "")
        print(_views.status_text(reply))
        for event in list(reply.events)[-10:]:
            print(f"  {event}")
        time.sleep(_WATCH_INTERVAL_S)


@app.command()
def explain(target: str, settings: Settings) -> None:
    """Explains why a target serves its current version."""
    for line in _views.explain_target(_read(settings), target):
        print(line)


@app.command()
def quarantine(
    settings: Settings,
    lift: Annotated[
        list[str] | None,
        typer.Option(
            help="fingerprint of a request, or one of the prompt parts in a"
            " row of the list, that may run again"
        ),
    ] = None,
) -> None:
    """Lists requests that are refused because targets crashed on them."""
    try:
        suspects = [parse_suspect(text) for text in lift or ()]
    except ValueError as error:
        _fail(f"--lift needs a fingerprint or a part: {error}", _EXIT_USAGE)
    reply = _run_with_client(
        settings, lambda client: client.quarantine(suspects)
    )
    if isinstance(reply, NoAnswer):
        _fail_without_answer(reply)
    print(_views.quarantine_table(reply))
    if reply.lifted < len(suspects):
        _fail("not all of them were known", _EXIT_REFUSED)


@app.command()
def limits(settings: Settings) -> None:
    """Lists the rate limits that targets announce."""
    reply = _run_with_client(settings, lambda client: client.limits())
    if isinstance(reply, NoAnswer):
        _fail_without_answer(reply)
    print(_views.limits_table(reply))


@app.command()
def why(
    request_id: str,
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="log files of any processes")
    ],
) -> None:
    """Explains the outcome of one request from collected logs."""
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            _fail(f"{path}: {error}", _EXIT_USAGE)
    report = _why.explain_request(request_id, _log_lines.parsed(lines))
    if not report:
        _fail(f"no line of these logs names {request_id}", _EXIT_REFUSED)
    print("\n".join(report))


@app.command()
def manifest(
    folder: Annotated[pathlib.Path, typer.Argument(help="model folder")],
    model: str,
    version: str,
    adapter: str = "",
    chunk_bytes: int = _DEFAULT_CHUNK_BYTES,
) -> None:
    """Writes a folder's manifest into it and prints its digest."""
    content = build_manifest(
        folder,
        model=model,
        adapter=adapter,
        version=version,
        chunk_size_bytes=chunk_bytes,
    )
    (folder / _MANIFEST_NAME).write_bytes(content)
    print(manifest_digest(content))


def main() -> None:
    """Entry point of the program."""
    app()


def _write(
    settings: pathlib.Path,
    request: control_pb2.WriteRequest,
    revision: int | None,
    request_id: str,
) -> None:
    request.request_id = request_id or str(uuid.uuid4())
    request.operator = getpass.getuser()

    async def operation(client: ControlClient) -> Any:
        expected = revision
        if expected is None:
            current = await client.read()
            if isinstance(current, NoAnswer):
                return current
            expected = _current_revision(current, request.kind, request.name)
        request.expected_revision = expected
        return await client.write(request)

    reply = _run_with_client(settings, operation)
    if isinstance(reply, NoAnswer):
        _fail(
            f"no leader answered; resend with --request-id "
            f"{request.request_id}",
            _EXIT_NO_LEADER,
        )
    if reply.outcome == control_pb2.WRITE_CONFLICT:
        print(_views.record_json(reply.record) if reply.record.body else "")
        _fail(
            f"conflict: revision {reply.record.revision} is in place, written "
            f"by {reply.record.operator or 'nobody'}",
            _EXIT_CONFLICT,
        )
    if reply.outcome == control_pb2.WRITE_INVALID:
        _fail(f"{reply.field or 'record'}: {reply.reason}", _EXIT_REFUSED)
    print(f"accepted revision {reply.record.revision}")


def _read(settings: pathlib.Path) -> control_pb2.ReadReply:
    reply = _run_with_client(settings, lambda client: client.read())
    if isinstance(reply, NoAnswer):
        tried = ", ".join(reply.tried)
        _fail(f"no leader answered at {tried}", _EXIT_NO_LEADER)
    return reply


def _run_with_client(
    path: pathlib.Path, operation: Callable[[ControlClient], Awaitable[Any]]
) -> Any:
    settings = settings_or_exit(
        path, settings_pb2.OperatorSettings, check=False, reference=False
    )

    async def run() -> Any:
        pool = ChannelPool(load_keys(settings.keys))
        addresses = list(settings.control.addresses)
        try:
            return await operation(
                ControlClient(addresses, pool, _LEADER_TIMEOUT_S)
            )
        finally:
            pool.close()

    try:
        return asyncio.run(run())
    except KeysError as error:
        _fail(str(error), _EXIT_USAGE)


def _current_revision(
    reply: control_pb2.ReadReply, kind: str, name: str
) -> int:
    for record in reply.records:
        if (record.kind, record.name) == (kind, name) and not record.withdrawn:
            return record.revision
    return 0


def _fail_without_answer(reply: NoAnswer) -> Any:
    tried = ", ".join(reply.tried)
    _fail(f"no control node answered at {tried}", _EXIT_NO_LEADER)


def _fail(message: str, status: int) -> Any:
    print(message, file=sys.stderr)
    raise SystemExit(status)
