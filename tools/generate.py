"""Generates Python modules from the schema, or checks that they are current."""

import importlib.resources
import os
import pathlib
import sys
import tempfile

from grpc_tools import protoc

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SCHEMA = _ROOT / "proto" / "damaskcroft" / "_generated"
_OUTPUT = _ROOT / "damaskcroft" / "_generated"


def generate(folder: pathlib.Path) -> None:
    """Writes every generated module below `folder`.

    Raises:
        SystemExit: the schema has an error, which the compiler has printed.
    """
    # grpclib's plugin is installed in the folder of this interpreter.
    os.environ["PATH"] = os.pathsep.join(
        [str(pathlib.Path(sys.executable).parent), os.environ["PATH"]]
    )
    well_known = importlib.resources.files("grpc_tools") / "_proto"
    arguments = [
        "protoc",
        f"--proto_path={_ROOT / 'proto'}",
        f"--proto_path={well_known}",
        f"--python_out={folder}",
        f"--pyi_out={folder}",
        f"--grpclib_python_out={folder}",
        *sorted(str(path) for path in _SCHEMA.glob("*.proto")),
    ]
    status = protoc.main(arguments)
    if status:
        raise SystemExit(status)


def _stale_names(fresh: pathlib.Path) -> list[str]:
    """Returns the generated modules that differ from the committed ones."""
    stale = []
    for path in sorted((fresh / "damaskcroft" / "_generated").iterdir()):
        committed = _OUTPUT / path.name
        if not committed.exists():
            stale.append(path.name)
            continue
        if committed.read_bytes() != path.read_bytes():
            stale.append(path.name)
    return stale


def main() -> None:
    """Regenerates the committed modules; with --check, only compares them."""
    if "--check" not in sys.argv:
        generate(_ROOT)
        return
    with tempfile.TemporaryDirectory() as name:
        fresh = pathlib.Path(name)
        generate(fresh)
        stale = _stale_names(fresh)
    if stale:
        raise SystemExit(
            f"generated modules out of date, run make proto: {', '.join(stale)}"
        )


if __name__ == "__main__":
    main()
