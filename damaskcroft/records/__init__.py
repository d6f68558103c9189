"""Record shapes by schema version, and the book of all records."""

from damaskcroft.records._book import RecordBook
from damaskcroft.records._selection import (
    deployment_for,
    matches,
    models_on_record,
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
    "RecordBook",
    "UnsupportedSchema",
    "deployment_for",
    "matches",
    "models_on_record",
    "parse_deployment",
    "validate",
]
