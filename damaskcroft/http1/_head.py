"""Status line and headers of an answer."""

import dataclasses

__all__ = ["Head", "Headers", "is_interim"]

_FIRST_FINAL_STATUS = 200

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status line and headers of an answer.

    Attributes:
        status: status code.
        headers: names in lower case and values, in order.
    """

    status: int
    headers: Headers

    def value(self, name: bytes) -> str:
        """A header's value, or empty when it isn't there.

        Args:
            name: in lower case.
        """
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""

    def values(self, name: bytes) -> list[str]:
        """The values of all headers of a name, which is in lower case."""
        return [
            value.decode("latin-1")
            for known, value in self.headers
            if known == name
        ]


def is_interim(status: int) -> bool:
    """Whether the answer itself is still to come (RFC 9110, 15.2)."""
    return status < _FIRST_FINAL_STATUS
