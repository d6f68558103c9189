"""Logs and metrics for operators."""

from damaskcroft.observe import metrics
from damaskcroft.observe._logs import (
    end_logs,
    log_event,
    log_warning,
    start_logs,
)

__all__ = ["end_logs", "log_event", "log_warning", "metrics", "start_logs"]
