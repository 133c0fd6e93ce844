"""Which of the desired objects may go into force: a pure function of what is desired and held."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.contracts.book import TeamContracts
from lotushill.contracts.book import build_team
from lotushill.contracts.book import take_keys
from lotushill.contracts.document import check
from lotushill.contracts.document import parse
from lotushill.contracts.exceptions import Fault
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.generation import ROOT_NAME
from lotushill.contracts.generation import TEAM_PREFIX
from lotushill.contracts.generation import load_root
from lotushill.contracts.generation import load_team
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import Team

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True)
class Desired:
    """One desired object: its text as the operator wrote it, and its version."""

    name: str
    version: int
    text: str


@dataclass
class Verdict:
    """The accepted texts by name, and the faults of what was turned down."""

    accepted: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, tuple[Fault, ...]] = field(default_factory=dict)


@dataclass(frozen=True)
class _ReadTeam:
    """A good team object, read and built under one root."""

    text: str
    root: Root
    accepted: str
    contracts: TeamContracts


class Judge:
    """Judges again and again, reading only those objects anew that have changed."""

    def __init__(self) -> None:
        self._teams: dict[str, _ReadTeam] = {}
        self._root: tuple[str, Root] | None = None

    def judge(self, desired: Mapping[str, Desired], held: Mapping[str, str]) -> Verdict:
        """Judge the desired objects, given the accepted texts that are in force (`held`).

        A faulty object keeps its accepted text. A root that would break a team that is in force
        is turned down itself, so that whatever is accepted fits together.
        """
        verdict = Verdict()
        root = self._judge_root(desired, held, verdict)
        if root is None:
            return verdict
        teams = {name: item for name, item in desired.items() if name.startswith(TEAM_PREFIX)}
        self._judge_teams(root, teams, held, verdict)
        self._teams = {name: read for name, read in self._teams.items() if name in teams}
        return verdict

    def _judge_root(
        self, desired: Mapping[str, Desired], held: Mapping[str, str], verdict: Verdict
    ) -> Root | None:
        wanted = desired.get(ROOT_NAME)
        if wanted is not None:
            try:
                root = self._read_root(wanted.text)
                self._expect_teams_fit(root, desired, held)
                verdict.accepted[ROOT_NAME] = root.model_dump_json(exclude_defaults=True)
                return root
            except SettingsError as error:
                verdict.rejected[ROOT_NAME] = error.faults
        if ROOT_NAME not in held:
            return None
        verdict.accepted[ROOT_NAME] = held[ROOT_NAME]
        return load_root(held[ROOT_NAME])

    def _expect_teams_fit(
        self, root: Root, desired: Mapping[str, Desired], held: Mapping[str, str]
    ) -> None:
        """Raise SettingsError if a team in force fits the root neither as desired nor as held."""
        for name, text in held.items():
            if name == ROOT_NAME or name not in desired:
                continue
            try:
                self._read(root, desired[name])
            except SettingsError:
                _expect_fits(root, name, text)

    def _judge_teams(
        self, root: Root, teams: Mapping[str, Desired], held: Mapping[str, str], verdict: Verdict
    ) -> None:
        keys: dict[str, str] = {}
        order = sorted(teams.values(), key=lambda item: (item.version, item.name))
        for item in order:
            try:
                read = self._read(root, item)
                _take(read.contracts, keys)
                verdict.accepted[item.name] = read.accepted
            except SettingsError as error:
                verdict.rejected[item.name] = error.faults
                _keep_held(root, item.name, held, keys, verdict)

    def _read_root(self, text: str) -> Root:
        if self._root is None or self._root[0] != text:
            self._root = (text, check(Root, parse(text, ROOT_NAME), ROOT_NAME))
        return self._root[1]

    def _read(self, root: Root, item: Desired) -> _ReadTeam:
        """Return a team as read and built; raise SettingsError for a faulty one."""
        known = self._teams.get(item.name)
        if known is not None and known.text == item.text and known.root is root:
            return known
        team = _parse_team(item)
        read = _ReadTeam(
            item.text, root, team.model_dump_json(exclude_defaults=True), build_team(root, team)
        )
        self._teams[item.name] = read
        return read


def _expect_fits(root: Root, name: str, text: str) -> None:
    try:
        build_team(root, load_team(text))
    except SettingsError as error:
        first = error.faults[0]
        reason = f"would break {name} at {first.path}: {first.reason}"
        raise SettingsError(ROOT_NAME, (Fault("(document)", name, reason),)) from error


def _keep_held(
    root: Root, name: str, held: Mapping[str, str], keys: dict[str, str], verdict: Verdict
) -> None:
    if name not in held:
        return
    contracts = build_team(root, load_team(held[name]))
    try:
        _take(contracts, keys)
    except SettingsError:
        return
    verdict.accepted[name] = held[name]


def _take(contracts: TeamContracts, keys: dict[str, str]) -> None:
    """Take a team's keys all together or not at all."""
    trial = dict(keys)
    take_keys(contracts, trial)
    keys.update(trial)


def _parse_team(item: Desired) -> Team:
    team = check(Team, parse(item.text, item.name), item.name)
    if TEAM_PREFIX + team.team != item.name:
        fault = Fault("team", repr(team.team), f"does not fit the object's name {item.name}")
        raise SettingsError(item.name, (fault,))
    return team
