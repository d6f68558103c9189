"""HTTP client for the platform's origin of weights."""

import json

from damaskcroft._generated import records_pb2
from damaskcroft.weights import (
    OutsideData,
    OutsideFailed,
    OutsideSource,
    manifest_of_digests,
)

__all__ = ["PlatformOrigin"]

_DIGEST_HEX_CHARS = 64


class PlatformOrigin(OutsideSource):
    """Fetches manifests and pieces of weights from the platform's origin.

    Paths have the form of `weights_path`: MODEL/VERSION.
    """

    async def fetch_manifest(self, path: str) -> OutsideData | OutsideFailed:
        """Fetches and converts the manifest of a version."""
        model, _, version = path.rpartition("/")
        outcome = await self.get(f"api/manifest/{model}?version={version}", {})
        if isinstance(outcome, OutsideFailed):
            return outcome
        try:
            manifest = _decode_manifest(outcome.data, model, version)
        except (ValueError, KeyError, TypeError) as error:
            return self.failed(f"malformed: {error}", 0.0)
        return OutsideData(manifest.SerializeToString(deterministic=True))

    async def fetch_chunk(
        self, path: str, manifest: records_pb2.Manifest, index: int
    ) -> OutsideData | OutsideFailed:
        """Fetches one piece and checks its length."""
        model, _, version = path.rpartition("/")
        # The wire's `sample_size` is the index of the piece.
        query = f"sample_size={index}&version={version}"
        outcome = await self.get(f"api/piece/{model}?{query}", {})
        if isinstance(outcome, OutsideFailed):
            return outcome
        if len(outcome.data) != manifest.chunks[index].size_bytes:
            return self.failed("short", 0.0)
        return outcome


def _decode_manifest(
    body: bytes, model: str, version: str
) -> records_pb2.Manifest:
    values = json.loads(body)
    if values["model"] != model or str(values["version"]) != version:
        raise ValueError("another version")
    size_bytes = int(values["chunk_bytes"])
    digests = [bytes.fromhex(text) for text in values["digests"]]
    if any(len(digest) * 2 != _DIGEST_HEX_CHARS for digest in digests):
        raise ValueError("a digest of another length")
    return manifest_of_digests(model, version, size_bytes, digests)
