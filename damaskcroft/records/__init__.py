"""Records: their schema versions, selection of targets and registry."""

from damaskcroft.records._registry import RecordRegistry
from damaskcroft.records._selection import (
    deployed_models,
    deployment_for,
    matches,
)
from damaskcroft.records._shapes import (
    CURRENT_SCHEMA_VERSION,
    InvalidRecord,
    UnsupportedSchema,
    parse_deployment,
    validate,
)

__all__ = [
    "CURRENT_SCHEMA_VERSION",
    "InvalidRecord",
    "RecordRegistry",
    "UnsupportedSchema",
    "deployed_models",
    "deployment_for",
    "matches",
    "parse_deployment",
    "validate",
]
