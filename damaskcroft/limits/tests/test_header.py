"""Parsing of the rate limit header."""

import pytest

from damaskcroft.limits import Named, Unnamed, Unreadable, parse_limit


@pytest.mark.parametrize(
    ("value", "rate_s"),
    [("2", 2.0), ("1.8", 1.8), ("0", 0.0), ("0.05", 0.05), (" 3 ", 3.0)],
)
def test_decimal_numbers_are_limits(value, rate_s):
    assert parse_limit([value]) == Named(rate_s)


def test_without_a_header_no_limit_is_announced():
    assert parse_limit([]) == Unnamed()


@pytest.mark.parametrize(
    "value",
    [
        "", "-1", "+1", "nan", "inf", "abc", "1e400", "1e3", "1, 2", "0x2",
        "9" * 300, "\u0661", "1_0", ".5", "5.", "\xff",
    ],
)  # fmt: skip
def test_other_values_are_unreadable(value):
    assert isinstance(parse_limit([value]), Unreadable)


def test_two_headers_are_unreadable():
    assert isinstance(parse_limit(["1", "2"]), Unreadable)
