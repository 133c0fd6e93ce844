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


def judge(desired: Mapping[str, Desired], held: Mapping[str, str]) -> Verdict:
    """Judge the desired objects, given the accepted texts that are in force (`held`).

    A faulty object keeps its accepted text. A root that would break a team that is in force
    is turned down itself, so that whatever is accepted fits together.
    """
    verdict = Verdict()
    root = _judge_root(desired, held, verdict)
    if root is None:
        return verdict
    teams = {name: item for name, item in desired.items() if name.startswith(TEAM_PREFIX)}
    _judge_teams(root, teams, held, verdict)
    return verdict


def _judge_root(
    desired: Mapping[str, Desired], held: Mapping[str, str], verdict: Verdict
) -> Root | None:
    wanted = desired.get(ROOT_NAME)
    if wanted is not None:
        try:
            root = check(Root, parse(wanted.text, ROOT_NAME), ROOT_NAME)
            _expect_teams_fit(root, desired, held)
            verdict.accepted[ROOT_NAME] = root.model_dump_json(exclude_defaults=True)
            return root
        except SettingsError as error:
            verdict.rejected[ROOT_NAME] = error.faults
    if ROOT_NAME not in held:
        return None
    verdict.accepted[ROOT_NAME] = held[ROOT_NAME]
    return load_root(held[ROOT_NAME])


def _expect_teams_fit(root: Root, desired: Mapping[str, Desired], held: Mapping[str, str]) -> None:
    """Raise SettingsError if a team in force fits the root neither as desired nor as held."""
    for name, text in held.items():
        if name == ROOT_NAME or name not in desired:
            continue
        try:
            _parse_team(root, desired[name])
        except SettingsError:
            _expect_fits(root, name, text)


def _expect_fits(root: Root, name: str, text: str) -> None:
    try:
        build_team(root, load_team(text))
    except SettingsError as error:
        first = error.faults[0]
        reason = f"would break {name} at {first.path}: {first.reason}"
        raise SettingsError(ROOT_NAME, (Fault("(document)", name, reason),)) from error


def _judge_teams(
    root: Root, teams: Mapping[str, Desired], held: Mapping[str, str], verdict: Verdict
) -> None:
    keys: dict[str, str] = {}
    order = sorted(teams.values(), key=lambda item: (item.version, item.name))
    for item in order:
        try:
            team = _parse_team(root, item)
            contracts = build_team(root, team)
            _take(contracts, keys)
            verdict.accepted[item.name] = team.model_dump_json(exclude_defaults=True)
        except SettingsError as error:
            verdict.rejected[item.name] = error.faults
            _keep_held(root, item.name, held, keys, verdict)


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


def _parse_team(root: Root, item: Desired) -> Team:
    team = check(Team, parse(item.text, item.name), item.name)
    if TEAM_PREFIX + team.team != item.name:
        fault = Fault("team", repr(team.team), f"does not fit the object's name {item.name}")
        raise SettingsError(item.name, (fault,))
    build_team(root, team)
    return team
