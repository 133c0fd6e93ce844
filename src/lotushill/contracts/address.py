"""Address type for fields of settings models."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator

from lotushill.links.address import split_address


def _checked(value: str) -> str:
    split_address(value)
    return value


Address = Annotated[str, AfterValidator(_checked)]
"""An address in a settings file, as `IP:PORT`."""
