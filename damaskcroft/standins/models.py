"""Writes small model folders of seeded random numbers."""

import json
import pathlib

import numpy as np
from safetensors.numpy import save_file

from damaskcroft.standins._engine import folder_digest
from damaskcroft.weights import build_manifest, manifest_digest, weights_path

_TENSORS_PER_FILE = 4
_FILE_COUNT = 4


class ModelVersion:
    """A model version in the folder served by the origin and the store."""

    __slots__ = ("digest", "folder", "model", "size_bytes", "version",
                 "weights_digest")  # fmt: skip

    def __init__(
        self, model: str, version: str, folder: pathlib.Path, digest: str
    ):
        """Computes the size and the content digest of the folder."""
        self.model = model
        self.version = version
        self.folder = folder
        self.digest = digest
        self.weights_digest = folder_digest(folder)
        self.size_bytes = sum(
            p.stat().st_size for p in folder.rglob("*") if p.is_file()
        )


def write_model(
    root: pathlib.Path,
    model: str,
    version: str,
    size_bytes: int,
    chunk_size_bytes: int,
    changed_share: float = 1.0,
) -> ModelVersion:
    """Writes a multi-file model and its manifest.

    Args:
        root: the folder served by the origin and the store.
        model: name of the model; seeds the files that versions share.
        version: name of the version; seeds the files specific to it.
        size_bytes: total size of all tensors.
        chunk_size_bytes: size of a chunk.
        changed_share: share of the files that are specific to the version.
    """
    folder = root / weights_path(model, "", version)
    folder.mkdir(parents=True, exist_ok=True)
    count = size_bytes // (4 * _FILE_COUNT * _TENSORS_PER_FILE)
    for number in range(_FILE_COUNT):
        is_version_specific = number < round(changed_share * _FILE_COUNT)
        seed = f"{model}/{version if is_version_specific else ''}/{number}"
        _write_file(folder / f"model-{number}.safetensors", seed, count)
    config = {"model": model, "version": version}
    (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
    return describe_model(root, model, version, chunk_size_bytes)


def describe_model(
    root: pathlib.Path, model: str, version: str, chunk_size_bytes: int
) -> ModelVersion:
    """Writes the manifest of an existing folder."""
    folder = root / weights_path(model, "", version)
    content = build_manifest(
        folder,
        model=model,
        adapter="",
        version=version,
        chunk_size_bytes=chunk_size_bytes,
    )
    (folder / "manifest.pb").write_bytes(content)
    return ModelVersion(model, version, folder, manifest_digest(content))


def _write_file(path: pathlib.Path, seed: str, count: int) -> None:
    rng = np.random.default_rng(list(seed.encode()))
    tensors = {
        f"layer.{number}": rng.random(count, dtype=np.float32)
        for number in range(_TENSORS_PER_FILE)
    }
    save_file(tensors, path)
