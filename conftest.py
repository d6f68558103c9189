"""Hypothesis profiles: the same verdict on every run, but for `make fuzz`."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "long",
    deadline=None,
    max_examples=1000,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
# For showing that a check can fail: the first failure will do.
hypothesis.settings.register_profile(
    "unshrunk",
    hypothesis.settings.get_profile("ci"),
    phases=[hypothesis.Phase.generate],
)
hypothesis.settings.load_profile(os.environ.get("DAMASK_FUZZ", "ci"))
