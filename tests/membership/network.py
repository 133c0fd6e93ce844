"""Members on a simulated network with a simulated clock."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.links.messages import RosterPull
from lotushill.membership.membership import Membership
from lotushill.membership.membership import OutgoingPacket
from lotushill.membership.membership_options import MembershipOptions

if TYPE_CHECKING:
    from collections.abc import Iterable

STEP_SECONDS = 0.05


class Network:
    """Delivers packets within the same time step, unless they are lost or cross a partition."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.members: dict[str, Membership] = {}
        self.down: set[str] = set()
        self.partitioned: set[str] = set()
        """Members on one side of a partition, which can reach only each other."""
        self.packet_count = 0
        self.state_count = 0
        """Number of member states that the packets carried."""
        self.halls = 2
        self._addresses: dict[str, str] = {}
        """Names of members by address."""
        for index in range(count):
            self.add(index)

    def add(
        self,
        index: int,
        incarnation: int = 1,
        seeds: Iterable[str] = ("10.0.0.0:1", "10.0.0.1:1"),
    ) -> Membership:
        """Start or restart a member."""
        name = self.name(index)
        hall = f"hall-{index % self.halls}"
        address = self.address(index)
        self._addresses[address] = name
        own = MemberState(name, address, hall, "region", incarnation, MemberPhase.ALIVE)
        rng = random.Random(self.rng.random())
        member = Membership(own, seeds, MembershipOptions(), rng)
        self.members[name] = member
        self.down.discard(name)
        return member

    @staticmethod
    def name(index: int) -> str:
        return f"entry-{index}"

    @staticmethod
    def address(index: int) -> str:
        return f"10.0.0.{index}:1"

    def run(self, seconds: float) -> None:
        """Advance the clock and tick the running members in each step."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            for name, member in self.members.items():
                if name not in self.down:
                    self.send(name, member.tick(self.now))

    def send(self, sender: str, packets: Iterable[OutgoingPacket]) -> None:
        """Deliver packets and their answers."""
        for packet in packets:
            self.packet_count += 1
            if not isinstance(packet.message, RosterPull):
                self.state_count += len(packet.message.members)
            receiver = self._by_address(packet.address)
            if receiver is None or self.rng.random() < self.loss:
                continue
            if (sender in self.partitioned) != (receiver.own.name in self.partitioned):
                continue
            source = self.members[sender].own.address
            answers = receiver.receive(packet.message, source, self.now)
            self.send(receiver.own.name, answers)

    def views(self) -> dict[str, set[str]]:
        """Return the live members according to each running member."""
        return {
            name: {state.name for state in member.live()}
            for name, member in self.members.items()
            if name not in self.down
        }

    def _by_address(self, address: str) -> Membership | None:
        name = self._addresses.get(address)
        return self.members[name] if name is not None and name not in self.down else None
