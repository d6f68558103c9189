"""Manifests: the content of a version, identified by a digest.

A record names the manifest's SHA-256 (FIPS 180-4), and the manifest names that
of every chunk. An agent that has the record can therefore verify every byte,
from any source.
"""

import hashlib
import pathlib
from collections.abc import Sequence

from google.protobuf.message import DecodeError

from damaskcroft._generated import records_pb2
from damaskcroft.weights._errors import ManifestError

MANIFEST_NAME = "manifest.pb"
_DIGEST_BYTES = 32
# File name in the manifest of a version that is stored as one blob.
_BLOB_NAME = "weights"


def build_manifest(
    folder: pathlib.Path,
    *,
    model: str,
    adapter: str,
    version: str,
    chunk_size_bytes: int,
) -> bytes:
    """Reads a model folder and builds its manifest.

    Args:
        folder: the folder with the files; a manifest file in it is left out.
        model: the model's name.
        adapter: the adapter's name, or empty.
        version: the version's name.
        chunk_size_bytes: size of every chunk but each file's last.

    Returns:
        The manifest as it is stored; its digest identifies the version.
    """
    manifest = records_pb2.Manifest(
        model=model,
        adapter=adapter,
        version=version,
        chunk_size_bytes=chunk_size_bytes,
    )
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    for path in paths:
        if path.name == MANIFEST_NAME:
            continue
        _add_file(manifest, folder, path)
    return manifest.SerializeToString(deterministic=True)


def manifest_digest(content: bytes) -> str:
    """The digest of a stored manifest: SHA-256, lower-case hex."""
    return hashlib.sha256(content).hexdigest()


def load_manifest(content: bytes, digest: str) -> records_pb2.Manifest:
    """Parses a manifest that must have the given digest.

    Raises:
        ManifestError: it has another digest, or describes impossible files.
    """
    if manifest_digest(content) != digest:
        raise ManifestError(f"manifest does not have the digest {digest}")
    try:
        manifest = records_pb2.Manifest.FromString(content)
    except DecodeError as error:
        raise ManifestError(str(error)) from error
    _check(manifest)
    return manifest


def weights_path(model: str, adapter: str, version: str) -> str:
    """Path of a version below the root of the outside sources."""
    name = f"{model}+{adapter}" if adapter else model
    return f"{name}/{version}"


def _add_file(
    manifest: records_pb2.Manifest, folder: pathlib.Path, path: pathlib.Path
) -> None:
    file_index = len(manifest.files)
    offset_bytes = 0
    with path.open("rb") as file:
        while piece := file.read(manifest.chunk_size_bytes):
            manifest.chunks.add(
                digest=hashlib.sha256(piece).digest(),
                file=file_index,
                offset_bytes=offset_bytes,
                size_bytes=len(piece),
            )
            offset_bytes += len(piece)
    relative = path.relative_to(folder).as_posix()
    manifest.files.add(path=relative, size_bytes=offset_bytes)


def _check(manifest: records_pb2.Manifest) -> None:
    for file in manifest.files:
        path = pathlib.PurePosixPath(file.path)
        if path.is_absolute() or ".." in path.parts or not path.parts:
            raise ManifestError(f"path leaves the folder: {file.path}")
    covered_bytes = [0] * len(manifest.files)
    for chunk in manifest.chunks:
        if chunk.file >= len(manifest.files):
            raise ManifestError("chunk refers to a file that is not listed")
        if chunk.offset_bytes != covered_bytes[chunk.file]:
            raise ManifestError("chunks of a file are not contiguous")
        if len(chunk.digest) != _DIGEST_BYTES or not chunk.size_bytes:
            raise ManifestError(
                "chunk without a SHA-256 digest or without bytes"
            )
        covered_bytes[chunk.file] += chunk.size_bytes
    for file, covered in zip(manifest.files, covered_bytes, strict=True):
        if file.size_bytes != covered:
            raise ManifestError(f"chunks don't cover {file.path}")


def manifest_of_digests(
    model: str, version: str, chunk_bytes: int, digests: Sequence[bytes]
) -> records_pb2.Manifest:
    """Builds the manifest of a version stored as one blob of equal chunks.

    Args:
        model: the model's name.
        version: the version's name.
        chunk_bytes: size of each chunk.
        digests: SHA-256 of each chunk, in order.
    """
    return records_pb2.Manifest(
        model=model,
        version=version,
        chunk_size_bytes=chunk_bytes,
        files=[
            records_pb2.WeightFile(
                path=_BLOB_NAME, size_bytes=chunk_bytes * len(digests)
            )
        ],
        chunks=[
            records_pb2.Chunk(
                digest=digest,
                file=0,
                offset_bytes=index * chunk_bytes,
                size_bytes=chunk_bytes,
            )
            for index, digest in enumerate(digests)
        ],
    )
