"""Whether a request met the latency target of its class."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.callers.outcome import OutcomeKind

if TYPE_CHECKING:
    from lotushill.callers.outcome import Outcome
    from lotushill.callers.runner import Progress
    from lotushill.contracts.policy import Contract


def has_target(contract: Contract) -> bool:
    """Return whether a class promises any latency at all."""
    return any((contract.first_token, contract.between_tokens, contract.whole))


def met_target(contract: Contract, outcome: Outcome, progress: Progress, ended: float) -> bool:
    """Return whether a request that ended at `ended` met every target of its class.

    A request that was not completed met none. Between tokens the mean counts.
    """
    if outcome.kind is not OutcomeKind.COMPLETED:
        return False
    if contract.whole is not None and ended - progress.arrived > contract.whole:
        return False
    first = progress.first_token_at - progress.arrived
    if contract.first_token is not None and first > contract.first_token:
        return False
    tokens = progress.transcript.tokens
    if contract.between_tokens is None or tokens < 2:
        return True
    return (ended - progress.first_token_at) / (tokens - 1) <= contract.between_tokens
