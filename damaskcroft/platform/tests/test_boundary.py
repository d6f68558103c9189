"""The platform's names stay in one folder, which stays small."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM = ROOT / "platform"
# What only the platform calls so. The product's own HTTP interface also has a
# Request-Id and a Deadline-Ms, so these two prove nothing.
NAMES = re.compile(
    r"expect-instance|response-seal|not-executed"
    r"|server-load|token-counts|prompt-prefix|weight-versions|credential"
    r"|/api/|heartbeat_ms|sample_size|DAMASKCROFT_NODE_FILE",
    re.IGNORECASE,
)


def sources(folder):
    return [
        path
        for path in folder.rglob("*.py")
        if "tests" not in path.parts and "_generated" not in path.parts
    ]


def test_nothing_else_knows_the_platforms_names():
    found = [
        f"{path.name}: {name}"
        for path in sources(ROOT)
        if PLATFORM not in path.parents
        for name in NAMES.findall(path.read_text("utf-8"))
    ]
    assert found == []


def test_only_the_hosted_programs_use_the_platform():
    users = {
        path.parent.name
        for path in sources(ROOT)
        if PLATFORM not in path.parents
        and "damaskcroft.platform" in path.read_text("utf-8")
    }
    assert users == {"hosted"}


def test_the_platforms_folder_stays_under_a_tenth_of_the_code():
    def lines(paths):
        return sum(path.read_text("utf-8").count("\n") for path in paths)

    assert lines(sources(PLATFORM)) * 10 < lines(sources(ROOT))
