"""Converts YAML text to plain data and back, without importing the models, which load slowly."""

from __future__ import annotations

import io
import json
from typing import TYPE_CHECKING
from typing import Any

from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError

if TYPE_CHECKING:
    from pathlib import Path


def parse(text: str, source: str) -> Any:
    """Parse YAML; raise SettingsError if the text is malformed.

    JSON, a subset of YAML, is parsed without importing the YAML library, whose import takes a tenth
    of a gateway's start.
    """
    if text.startswith("{"):
        try:
            return json.loads(text)
        except (ValueError, RecursionError):
            # The text may still be YAML in flow style.
            pass
    return _parse_yaml(text, source)


def _parse_yaml(text: str, source: str) -> Any:
    from ruamel.yaml import YAML
    from ruamel.yaml.error import YAMLError

    try:
        return YAML(typ="safe", pure=True).load(text)
    except (YAMLError, ValueError, RecursionError) as error:
        reason = " ".join(str(error).split())
        raise SettingsError(source, (Fault("(document)", "text", reason),)) from error


def parse_file(path: Path) -> Any:
    """Parse a YAML file; raise SettingsError if it cannot be read or is malformed."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), (Fault("(file)", "file", str(error)),)) from error
    return parse(text, str(path))


def write(value: Any) -> str:
    """Return plain data as YAML text."""
    from ruamel.yaml import YAML

    stream = io.StringIO()
    yaml = YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    yaml.dump(value, stream)
    return stream.getvalue()
