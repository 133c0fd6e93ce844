"""Puts the keeper of the duties together with the parts of a gateway."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from lotushill.duties.duty_keeper import DutyKeeper
from lotushill.duties.duty_keeper import FleetSight
from lotushill.links.messages import StoreContact
from lotushill.membership.rendezvous import ranked
from lotushill.platform.duty_api import DutyApi

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.gateway.gateway import Gateway
    from lotushill.routing.service import Service

_KEY = "duties"
_MOST_RANKED = 10_000


def new_keeper(gateway: Gateway) -> DutyKeeper:
    """Return the keeper of a gateway whose settings have a section for it."""
    settings = gateway.settings.duties
    assert settings is not None
    membership = gateway.peers.membership

    def services() -> Iterable[Service]:
        table = gateway.views.configuration.table
        return list(table.services.values()) if table is not None else []

    def rank() -> int:
        reading = [
            member.name for member in membership.live() if member.contact is StoreContact.READING
        ]
        order = ranked(_KEY, {*reading, membership.own.name}, _MOST_RANKED)
        return order.index(membership.own.name)

    sight = FleetSight(
        members=membership.live,
        reads_store=lambda: gateway.views.contact() is StoreContact.READING,
        rank=rank,
        services=services,
        upstreams=gateway.views.upstreams,
        pull=gateway.peers.send_work,
        own_pages=gateway.work.pages,
    )
    return DutyKeeper(
        gateway.settings.name,
        membership.own.incarnation,
        settings,
        gateway.store,
        DutyApi(settings.address),
        sight,
        gateway.true_time,
        gateway.log,
        gateway.rng,
        time.monotonic,
    )
