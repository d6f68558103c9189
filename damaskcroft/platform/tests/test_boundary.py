"""The platform's wire names are confined to one small folder."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parents[2]
PLATFORM = ROOT / "platform"
# Names that only the platform uses. Request-Id and Deadline-Ms are left out,
# because the product's own HTTP interface has them too.
NAMES = re.compile(
    r"expect-instance|response-seal|not-executed"
    r"|server-load|token-counts|prompt-prefix|weight-versions|credential"
    r"|/api/|heartbeat_ms|sample_size|DAMASKCROFT_NODE_FILE",
    re.IGNORECASE,
)


def source_files(folder):
    return [
        path
        for path in folder.rglob("*.py")
        if "tests" not in path.parts and "_generated" not in path.parts
    ]


def test_platform_names_occur_only_in_the_platform_folder():
    found = [
        f"{path.name}: {name}"
        for path in source_files(ROOT)
        if PLATFORM not in path.parents
        for name in NAMES.findall(path.read_text("utf-8"))
    ]
    assert found == []


def test_only_hosted_programs_import_the_platform():
    users = {
        path.parent.name
        for path in source_files(ROOT)
        if PLATFORM not in path.parents
        and "damaskcroft.platform" in path.read_text("utf-8")
    }
    assert users == {"hosted"}


def test_platform_folder_is_under_a_tenth_of_the_code():
    def lines(paths):
        return sum(path.read_text("utf-8").count("\n") for path in paths)

    assert lines(source_files(PLATFORM)) * 10 < lines(source_files(ROOT))
