"""Tests of lotushill; their folders mirror the source tree.

Hypothesis derives its examples from the tests alone, so that every run gives the same result. With
LOTUSHILL_SHRINK=1 it shrinks failing examples, which may take minutes.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings

_PHASES = [Phase.explicit, Phase.generate]
if os.environ.get("LOTUSHILL_SHRINK"):
    _PHASES.append(Phase.shrink)

settings.register_profile(
    "lotushill",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    phases=_PHASES,
    report_multiple_bugs=False,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("lotushill")
