"""Settings from flags and environment variables.

A program declares a ``NamedTuple`` whose fields have types and defaults, and a mapping
``SETTING_SPECS`` from each field to its ``SettingSpec``. ``load`` fills the tuple. A
flag takes precedence over the environment variable, and both over the default. All
problems are reported together.

    >>> class Cfg(NamedTuple):
    ...     port: int = 80
    >>> specs = {"port": SettingSpec("Port to listen on.", low=1, high=65535)}
    >>> load(Cfg, specs, flags={}, environ={"AUBURNWALL_PORT": "81"}).port
    81
"""

from typing import NamedTuple, get_type_hints
from urllib.parse import urlsplit

from .exceptions import SettingsError

ENV_PREFIX = "AUBURNWALL_"
_TRUE_TEXTS = {"1", "true", "yes", "on"}
_FALSE_TEXTS = {"0", "false", "no", "off"}


class SettingSpec(NamedTuple):
    """Meaning, unit and allowed values of one setting.

    ``low`` and ``high`` are the inclusive bounds of a number, ``choices`` the allowed
    values and ``syntax`` a key of ``_SYNTAX_CHECKS``, the required syntax of a string.
    """

    meaning: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple = ()
    syntax: str = ""
    required: bool = False


class SettingProblem(NamedTuple):
    """An invalid setting: what is ``problem`` with it, and the ``remedy``."""

    setting: str
    problem: str
    remedy: str


def flag_name(field):
    """Return the command-line flag of a field, without the leading dashes."""
    return field.replace("_", "-")


def env_name(field):
    """Return the environment variable of a field."""
    return ENV_PREFIX + field.upper()


def load(schema, specs, flags, environ, checks=()):
    """Return an instance of ``schema``; raise ``SettingsError`` with all problems.

    ``checks`` are functions that take the filled tuple and yield ``SettingProblem``
    for settings that contradict each other. They are called only if each setting by
    itself is valid.
    """
    hints = get_type_hints(schema)
    values, problems = {}, []
    for field in schema._fields:
        raw = flags.get(field)
        if raw is None:
            raw = environ.get(env_name(field))
        if raw is None:
            values[field] = schema._field_defaults.get(field)
            if specs[field].required and not values[field]:
                problems.append(_missing_problem(field, specs[field]))
            continue
        try:
            values[field] = _convert(raw, hints[field])
        except ValueError:
            problems.append(_type_problem(field, raw, hints[field], specs[field]))
            continue
        problems.extend(_check_value(field, values[field], specs[field]))
    if not problems:
        cfg = schema(**values)
        problems.extend(problem for check in checks for problem in check(cfg))
    if problems:
        raise SettingsError(problems)
    return cfg


def describe(schema, specs):
    """Return a description of each setting for help texts and reference pages.

    Each is a dictionary with flag, variable, default, unit, allowed values and meaning.
    """
    return [
        {
            "flag": "--" + flag_name(field),
            "variable": env_name(field),
            "default": schema._field_defaults.get(field, ""),
            "unit": specs[field].unit,
            "allowed": _allowed_values(specs[field]),
            "meaning": specs[field].meaning,
        }
        for field in schema._fields
    ]


def _convert(raw, expected_type):
    if not isinstance(raw, str):
        return raw
    if expected_type is bool:
        text = raw.strip().lower()
        if text in _TRUE_TEXTS | _FALSE_TEXTS:
            return text in _TRUE_TEXTS
        raise ValueError(raw)
    return expected_type(raw)


def _check_value(field, value, spec):
    name = _display_name(field)
    if spec.required and value == "":
        yield _missing_problem(field, spec)
    elif spec.choices and value not in spec.choices:
        yield SettingProblem(name, f"{value!r} is not allowed", _remedy(spec))
    elif spec.low is not None and value < spec.low:
        yield SettingProblem(name, f"{value} is below {spec.low}", _remedy(spec))
    elif spec.high is not None and value > spec.high:
        yield SettingProblem(name, f"{value} is above {spec.high}", _remedy(spec))
    elif spec.syntax and value and not _SYNTAX_CHECKS[spec.syntax](value):
        yield SettingProblem(name, f"{value!r} is not {spec.syntax}", _remedy(spec))


def _is_url(value):
    try:
        parts = urlsplit(value)
        return parts.scheme in {"http", "https"} and bool(parts.port or parts.hostname)
    except ValueError:
        return False


def _is_address(value):
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 <= int(port) <= 65535


_SYNTAX_CHECKS = {
    "an http URL": _is_url,
    "host:port": _is_address,
    "a list of host:port": lambda value: all(map(_is_address, value.split(","))),
}


def _display_name(field):
    return f"--{flag_name(field)} ({env_name(field)})"


def _missing_problem(field, spec):
    return SettingProblem(_display_name(field), "is not set", f"Set it: {spec.meaning}")


def _type_problem(field, raw, expected_type, spec):
    return SettingProblem(
        _display_name(field), f"{raw!r} is not {expected_type.__name__}", _remedy(spec)
    )


def _remedy(spec):
    allowed = _allowed_values(spec)
    return f"Use {allowed}: {spec.meaning}" if allowed else spec.meaning


def _allowed_values(spec):
    if spec.choices:
        return "one of " + ", ".join(map(str, spec.choices))
    unit = f" {spec.unit}" if spec.unit else ""
    if spec.low is not None and spec.high is not None:
        return f"{spec.low} to {spec.high}{unit}"
    if spec.low is not None:
        return f"at least {spec.low}{unit}"
    return spec.syntax or spec.unit
