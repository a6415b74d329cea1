"""Validation of a configuration: first by its schema, then for consistency."""

import json
from functools import cache
from importlib import resources
from itertools import chain
from typing import NamedTuple
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from jsonschema import Draft202012Validator


class Issue(NamedTuple):
    """One fault of a configuration: where it is, what is wrong and what is allowed."""

    path: str
    wrong: str
    allowed: str


@cache
def schema():
    """Return the JSON schema of the configuration."""
    text = resources.files(__package__).joinpath("schema.json").read_text("utf-8")
    return json.loads(text)


@cache
def _validator():
    return Draft202012Validator(schema())


def find_issues(config):
    """Return the issues of ``config``.

    These are the violations of the schema, sorted by path. Only if there are none, the
    names that refer to other sections, the time zones and the API keys are checked.
    """
    errors = sorted(
        _validator().iter_errors(config), key=lambda e: list(map(str, e.path))
    )
    if errors:
        return [_issue_of(error) for error in errors]
    return list(
        chain(
            _check_selectors(config),
            _check_objectives(config),
            _check_keys(config),
        )
    )


def _issue_of(error):
    path = ".".join(map(str, error.absolute_path)) or "(top)"
    return Issue(path, error.message, _allowed(error))


def _allowed(error):
    value = error.validator_value
    match error.validator:
        case "enum":
            return "one of " + ", ".join(map(str, value))
        case "type":
            return f"a value of type {value}"
        case "required":
            return "all of " + ", ".join(value)
        case "additionalProperties" if value is False:
            return "only " + ", ".join(sorted(error.schema.get("properties", {})))
        case "dependentRequired":
            return "from, until and zone together, or none of them"
        case "anyOf":
            return "a string or a list of strings"
        case _:
            return f"{error.validator} {value}"


def _check_selectors(config):
    for name, selector in config.get("selectors", {}).items():
        path = f"selectors.{name}"
        yield from _check_name(config, f"{path}.model", "models", selector["model"])
        yield from _check_name(config, f"{path}.group", "groups", selector["group"])
        if "team" in selector:
            yield from _check_name(config, f"{path}.team", "teams", selector["team"])
        if "zone" in selector:
            yield from _check_zone(f"{path}.zone", selector["zone"])


def _check_objectives(config):
    for name, objective in config.get("objectives", {}).items():
        path = f"objectives.{name}"
        yield from _check_name(config, f"{path}.model", "models", objective["model"])
        if "team" in objective:
            yield from _check_name(config, f"{path}.team", "teams", objective["team"])


def _check_keys(config):
    team_by_key = {}
    for team, entry in config.get("teams", {}).items():
        for index, key in enumerate(entry["keys"]):
            other = team_by_key.setdefault(key, team)
            if other != team:
                yield Issue(
                    f"teams.{team}.keys.{index}",
                    f"the key is also one of team {other!r}",
                    "a key that belongs to one team",
                )


def _check_name(config, path, section, name):
    defined = config.get(section, {})
    if name not in defined:
        allowed = ", ".join(sorted(defined)) or f"nothing yet: add [{section}.{name}]"
        yield Issue(path, f"{name!r} is not in [{section}]", allowed)


def _check_zone(path, name):
    try:
        ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        yield Issue(path, f"{name!r} is no time zone", "an IANA name: America/Bogota")
