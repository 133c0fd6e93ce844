"""One log line for each decision."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from lotushill.dispatch.messages import Grant
from lotushill.dispatch.messages import Refusal

if TYPE_CHECKING:
    from lotushill.dispatch.dispatcher import Routed

log = logging.getLogger("entry")


def log_decision(routed: Routed) -> None:
    """Log one decision with the entry host that it goes to."""
    decision = routed.decision
    if isinstance(decision, Grant):
        log.info(
            "Granted. request=%s attempt=%d entry=%s cell=%s upstream=%s tier=%d waited=%.3f %s",
            decision.request,
            decision.attempt,
            routed.entry,
            decision.cell,
            decision.upstream,
            decision.tier,
            decision.waited,
            decision.why,
        )
    elif isinstance(decision, Refusal):
        log.info(
            "Refused. request=%s entry=%s reason=%s retry_after=%.1f",
            decision.request,
            routed.entry,
            decision.reason.value,
            decision.retry_after,
        )
    else:
        log.info(
            "Preempted. request=%s entry=%s upstream=%s",
            decision.request,
            routed.entry,
            decision.upstream,
        )
