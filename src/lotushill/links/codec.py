"""Converts typed messages to packed Cap'n Proto frames and back."""

from __future__ import annotations

import re
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import capnp

from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.limit_messages import LimitNews
from lotushill.links.limit_messages import PermitAnswer
from lotushill.links.limit_messages import PermitAsk
from lotushill.links.messages import LeavingNews
from lotushill.links.messages import ModelPage
from lotushill.links.messages import ModelPull
from lotushill.links.messages import Ping
from lotushill.links.messages import PlacementAnswer
from lotushill.links.messages import PlacementAsk
from lotushill.links.messages import Pong
from lotushill.links.messages import RosterPage
from lotushill.links.messages import RosterPull
from lotushill.links.messages import ViewPage
from lotushill.links.messages import ViewPull
from lotushill.links.messages import WaitingNews
from lotushill.links.messages import WorkPage
from lotushill.links.messages import WorkPull
from lotushill.links.origin_messages import EndedNews
from lotushill.links.origin_messages import OriginAnswer
from lotushill.links.origin_messages import OriginAsk
from lotushill.links.origin_messages import OriginNews
from lotushill.links.quarantine_messages import ClearedNews
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import SuspectNews
from lotushill.links.relay_messages import RelayAnswer
from lotushill.links.relay_messages import RelayOpen
from lotushill.links.return_messages import ReturnNews
from lotushill.links.slot_messages import SlotAnswer
from lotushill.links.slot_messages import SlotAsk
from lotushill.links.slot_messages import SlotReport
from lotushill.links.slot_messages import SlotReportAck

Message = (
    Ping
    | Pong
    | ViewPull
    | ViewPage
    | RosterPull
    | RosterPage
    | ModelPull
    | ModelPage
    | PlacementAsk
    | PlacementAnswer
    | WorkPull
    | WorkPage
    | SuspectNews
    | ClearedNews
    | LeavingNews
    | GroupNews
    | LimitNews
    | PermitAsk
    | PermitAnswer
    | ReturnNews
    | WaitingNews
    | RelayOpen
    | RelayAnswer
    | OriginNews
    | EndedNews
    | OriginAsk
    | OriginAnswer
    | SlotAsk
    | SlotAnswer
    | SlotReport
    | SlotReportAck
)

_SCHEMA = capnp.load(str(Path(__file__).with_name("frame.capnp")))
_TRAVERSAL_LIMIT_WORDS = 1 << 22
"""Limit on the words that a reader traverses, which bounds the cost of a small hostile frame."""


@dataclass(frozen=True)
class _Plain:
    """Codec of a number, boolean or text, which is transferred unchanged."""

    def put(self, builder: Any, name: str, value: Any) -> None:
        # An omitted field reads as zero or empty, and takes no bytes on the wire.
        if value:
            setattr(builder, name, value)

    def put_item(self, items: Any, index: int, value: Any) -> None:
        items[index] = value

    def decode(self, value: Any) -> Any:
        return value


@dataclass(frozen=True)
class _Choice:
    """Codec of an enumeration, which is transferred as its text value."""

    kind: type[Enum]

    def put(self, builder: Any, name: str, value: Any) -> None:
        setattr(builder, name, value.value)

    def put_item(self, items: Any, index: int, value: Any) -> None:
        items[index] = value.value

    def decode(self, value: Any) -> Any:
        return self.kind(value)


@dataclass(frozen=True)
class _Record:
    """Codec of a nested message."""

    shape: _Shape

    def put(self, builder: Any, name: str, value: Any) -> None:
        self.shape.fill(builder.init(name), value)

    def put_item(self, items: Any, index: int, value: Any) -> None:
        self.shape.fill(items[index], value)

    def decode(self, value: Any) -> Any:
        return self.shape.from_reader(value)


@dataclass(frozen=True)
class _Sequence:
    """Codec of a tuple whose items are plain values, enumerations or nested messages."""

    item: _Plain | _Choice | _Record

    def put(self, builder: Any, name: str, value: Any) -> None:
        if not value:
            return
        items = builder.init(name, len(value))
        for index, entry in enumerate(value):
            self.item.put_item(items, index, entry)

    def decode(self, value: Any) -> Any:
        return tuple(self.item.decode(entry) for entry in value)


@dataclass(frozen=True)
class _Field:
    name: str
    wire_name: str
    kind: _Plain | _Choice | _Record | _Sequence


class _Shape:
    """Mapping between a dataclass and its Cap'n Proto struct."""

    def __init__(self, kind: type[Any]) -> None:
        self.kind = kind
        hints = get_type_hints(kind)
        self.fields = tuple(
            _Field(item.name, _camel(item.name), _field_kind(hints[item.name]))
            for item in fields(kind)
        )

    def fill(self, builder: Any, message: Any) -> None:
        """Write a message into a builder field by field: far cheaper than from a mapping."""
        for item in self.fields:
            item.kind.put(builder, item.wire_name, getattr(message, item.name))

    def from_reader(self, reader: Any) -> Any:
        """Return the message that a reader contains."""
        return self.kind(
            *(item.kind.decode(getattr(reader, item.wire_name)) for item in self.fields)
        )


def _shape(kind: type[Any]) -> _Shape:
    """Return the shape of a dataclass, which is built on first use to keep start-up short."""
    shape = _SHAPES.get(kind)
    if shape is None:
        shape = _SHAPES[kind] = _Shape(kind)
    return shape


def _camel(name: str) -> str:
    return re.sub(r"_([a-z])", lambda match: match[1].upper(), name)


def _field_kind(hint: Any) -> _Plain | _Choice | _Record | _Sequence:
    if get_origin(hint) is tuple:
        return _Sequence(_item_kind(get_args(hint)[0]))
    return _item_kind(hint)


def _item_kind(hint: Any) -> _Plain | _Choice | _Record:
    if is_dataclass(hint):
        return _Record(_shape(hint))  # type: ignore[arg-type]
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _Choice(hint)
    return _Plain()


_MESSAGE_TYPES: tuple[type[Any], ...] = (
    Ping,
    Pong,
    ViewPull,
    ViewPage,
    RosterPull,
    RosterPage,
    ModelPull,
    ModelPage,
    PlacementAsk,
    PlacementAnswer,
    WorkPull,
    WorkPage,
    SuspectNews,
    ClearedNews,
    LeavingNews,
    GroupNews,
    LimitNews,
    PermitAsk,
    PermitAnswer,
    ReturnNews,
    WaitingNews,
    RelayOpen,
    RelayAnswer,
    OriginNews,
    OriginAsk,
    OriginAnswer,
    SlotAsk,
    SlotAnswer,
    SlotReport,
    SlotReportAck,
    EndedNews,
)
_SHAPES: dict[type[Any], _Shape] = {}
_TAGS = {kind: kind.__name__.lower() for kind in _MESSAGE_TYPES}
_MESSAGE_TYPES_BY_TAG = {tag: kind for kind, tag in _TAGS.items()}


def encode(message: Message) -> bytes:
    """Return the packed frame of a message."""
    kind = type(message)
    frame = _SCHEMA.Frame.new_message()
    _shape(kind).fill(frame.init(_TAGS[kind]), message)
    return bytes(frame.to_bytes_packed())


def decode(data: bytes) -> Message:
    """Return the message of a packed frame; raise MalformedFrameError for anything else."""
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        )
        tag = frame.which()
        message: Message = _shape(_MESSAGE_TYPES_BY_TAG[str(tag)]).from_reader(
            getattr(frame, str(tag))
        )
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError, TypeError) as error:
        raise MalformedFrameError(str(error)) from error
    return message
