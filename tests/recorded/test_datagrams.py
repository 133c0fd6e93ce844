"""Datagrams of an earlier build are decoded to the same values and encoded to the same bytes."""

from __future__ import annotations

import json
import unittest
from dataclasses import astuple
from dataclasses import fields
from dataclasses import is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from lotushill.links.datagram import from_datagram
from lotushill.links.datagram import to_datagram
from lotushill.links.load_records import pack_load
from lotushill.links.load_records import unpack_loads
from lotushill.links.load_records import upstream_number
from lotushill.links.pace_records import pack_paces
from lotushill.links.pace_records import unpack_paces
from lotushill.links.seal import Seal

RECORDED = json.loads(Path(__file__).with_name("datagrams.json").read_text(encoding="utf-8"))


def plain(value: Any) -> Any:
    """Return a message as JSON holds it: fields by name, bytes in hexadecimal."""
    if isinstance(value, Enum):
        return value.value
    if is_dataclass(value):
        return {item.name: plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def values(recorded: Any) -> Any:
    """Return recorded values in the order of their fields, without the names."""
    if isinstance(recorded, dict):
        return [values(item) for item in recorded.values()]
    return [values(item) for item in recorded] if isinstance(recorded, list) else recorded


def names(upstreams: list[str]) -> dict[int, str]:
    return {upstream_number(name): name for name in upstreams}


class TestDatagrams(unittest.TestCase):
    def test_each_kind_keeps_its_fields_and_bytes(self) -> None:
        for item in RECORDED["datagrams"]:
            with self.subTest(item["kind"]):
                data = bytes.fromhex(item["bytes"])
                message = from_datagram(data)
                self.assertEqual(item["kind"], type(message).__name__)
                self.assertEqual(item["fields"], plain(message))
                # A field that was added since takes bytes in messages that do not set it as well.
                encoded = bytes.fromhex(item.get("grown", item["bytes"]))
                self.assertEqual(encoded, to_datagram(message))
                self.assertEqual(message, from_datagram(encoded))

    def test_records_of_load_keep_their_order_and_bytes(self) -> None:
        recorded = RECORDED["load"]
        data = bytes.fromhex(recorded["bytes"])
        (load,) = unpack_loads(data, names(recorded["upstreams"]).get)
        self.assertEqual(values(recorded["fields"]), json.loads(json.dumps(astuple(load))))
        self.assertEqual(data, pack_load(load))

    def test_records_of_paces_keep_their_order_and_bytes(self) -> None:
        recorded = RECORDED["paces"]
        data = bytes.fromhex(recorded["bytes"])
        paces = unpack_paces(data, names(["engine-1", "engine-2"]).get)
        self.assertEqual(values(recorded["fields"]), [list(astuple(item)) for item in paces])
        self.assertEqual(data, pack_paces(paces))

    def test_a_sealed_frame_is_opened_and_signed_alike(self) -> None:
        recorded = {name: bytes.fromhex(text) for name, text in RECORDED["seal"].items()}
        seal = Seal((recorded["key"],))
        self.assertEqual(recorded["data"], seal.open(recorded["sealed"], recorded["context"]))
        self.assertEqual(recorded["sealed"], seal.sign(recorded["data"], recorded["context"]))
