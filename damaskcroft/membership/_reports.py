"""Text form of enum values in holders' reports."""

from damaskcroft._generated import control_pb2

__all__ = ["held_up_reason"]


def held_up_reason(reason: control_pb2.HeldUpBy) -> str:
    """Returns why an order is held up, such as `target_unreachable`.

    Logs and metrics use this form.
    """
    return control_pb2.HeldUpBy.Name(reason).removeprefix("HELD_UP_").lower()
