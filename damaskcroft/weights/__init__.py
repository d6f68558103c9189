"""Distribution of weights: manifests, chunks, planning and transfer."""

from damaskcroft.weights._burst import Burst, BurstOptions, help_share
from damaskcroft.weights._errors import (
    ManifestError,
    StoreFullError,
    WeightsError,
)
from damaskcroft.weights._fetcher import BurstCounts
from damaskcroft.weights._holdings import packed
from damaskcroft.weights._manifest import (
    build_manifest,
    load_manifest,
    manifest_digest,
    manifest_of_digests,
    weights_path,
)
from damaskcroft.weights._outside import (
    OutsideData,
    OutsideFailed,
    OutsideSource,
    RangeSource,
)
from damaskcroft.weights._pacer import Pacer
from damaskcroft.weights._peers import (
    GrpcPeerSource,
    PeerChunkMissing,
    PeerData,
    PeerFailed,
    PeerNotInBurst,
    PeerSource,
)
from damaskcroft.weights._planner import (
    Participant,
    Planner,
    make_planner,
)
from damaskcroft.weights._roster_plan import RosterPlan
from damaskcroft.weights._store import (
    ChunkStore,
    FolderStore,
    MemoryStore,
    StagedVersion,
)
from damaskcroft.weights._upload_rate import UploadRate

__all__ = [
    "Burst",
    "BurstCounts",
    "BurstOptions",
    "ChunkStore",
    "FolderStore",
    "GrpcPeerSource",
    "ManifestError",
    "MemoryStore",
    "OutsideData",
    "OutsideFailed",
    "OutsideSource",
    "Pacer",
    "Participant",
    "PeerChunkMissing",
    "PeerData",
    "PeerFailed",
    "PeerNotInBurst",
    "PeerSource",
    "Planner",
    "RangeSource",
    "RosterPlan",
    "StagedVersion",
    "StoreFullError",
    "UploadRate",
    "WeightsError",
    "build_manifest",
    "help_share",
    "load_manifest",
    "make_planner",
    "manifest_digest",
    "manifest_of_digests",
    "packed",
    "weights_path",
]
