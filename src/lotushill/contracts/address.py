"""Address type for fields of settings models."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator

from lotushill.links.address import split_address


def _validate(value: str) -> str:
    split_address(value)
    return value


Address = Annotated[str, AfterValidator(_validate)]
"""An address in a settings file, as `IP:PORT`."""
