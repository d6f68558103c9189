"""Words for what holders report of themselves."""

from damaskcroft._generated import control_pb2

__all__ = ["held_up_word"]


def held_up_word(reason: control_pb2.HeldUpBy) -> str:
    """The fixed word for what holds an order up, as `target_unreachable`."""
    return control_pb2.HeldUpBy.Name(reason).removeprefix("HELD_UP_").lower()
