"""Parsing of Retry-After headers."""

import email.utils
import time

import pytest

from damaskcroft.http1 import retry_after_s

NOON = "Thu, 03 Dec 2026 12:00:00 GMT"
A_MINUTE_LATER = "Thu, 03 Dec 2026 12:01:00 GMT"


@pytest.mark.parametrize(
    ("value", "seconds"), [("3", 3.0), ("0", 0.0), ("0.25", 0.25), (" 2 ", 2.0)]
)
def test_seconds_are_parsed(value, seconds):
    assert retry_after_s(value) == seconds


def test_a_date_is_relative_to_the_date_of_its_answer():
    assert retry_after_s(A_MINUTE_LATER, NOON) == 60


@pytest.mark.parametrize("date", ["", "yesterday"])
def test_without_a_valid_answer_date_a_date_is_relative_to_now(date):
    soon = email.utils.formatdate(time.time() + 30, usegmt=True)
    assert 25 < retry_after_s(soon, date) <= 30


@pytest.mark.parametrize(
    "value", ["", "soon", "-1", "nan", "inf", "-inf", "1e999", "Thu, 99 Dec"]
)
def test_an_invalid_value_gives_none(value):
    assert retry_after_s(value) is None


def test_a_date_in_the_past_gives_none():
    assert retry_after_s(NOON, A_MINUTE_LATER) is None
