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
        """Returns a header's value, or an empty string if it is absent.

        Args:
            name: name of the header in lower case.
        """
        for header, value in self.headers:
            if header == name:
                return value.decode("latin-1")
        return ""

    def values(self, name: bytes) -> list[str]:
        """Returns the values of all headers with a name in lower case."""
        return [
            value.decode("latin-1")
            for header, value in self.headers
            if header == name
        ]


def is_interim(status: int) -> bool:
    """Whether a status is interim: a final answer follows (RFC 9110, 15.2)."""
    return status < _FIRST_FINAL_STATUS
