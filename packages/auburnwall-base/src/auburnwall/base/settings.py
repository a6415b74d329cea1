"""Settings from flags and environment variables, checked all at once.

A program declares a ``NamedTuple`` whose fields carry type and default, and a table
``SETTING_SPECS`` with unit, range and meaning for each field. ``load`` fills the tuple:
a flag wins over the environment variable, which wins over the default.

    >>> class Cfg(NamedTuple):
    ...     port: int = 80
    >>> about = {"port": SettingSpec("Port to listen on.", low=1, high=65535)}
    >>> load(Cfg, about, flags={}, environ={"AUBURNWALL_PORT": "81"}).port
    81
"""

from typing import NamedTuple, get_type_hints
from urllib.parse import urlsplit

from .exceptions import SettingsError

ENV_PREFIX = "AUBURNWALL_"
_TRUE = {"1", "true", "yes", "on"}
_FALSE = {"0", "false", "no", "off"}


class SettingSpec(NamedTuple):
    """Meaning, unit and allowed values of one setting."""

    meaning: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    choices: tuple = ()
    form: str = ""
    required: bool = False


class SettingProblem(NamedTuple):
    """One bad setting and how to mend it."""

    setting: str
    wrong: str
    remedy: str


def flag_name(field):
    """Return the flag of a field, without dashes in front."""
    return field.replace("_", "-")


def env_name(field):
    """Return the environment variable of a field."""
    return ENV_PREFIX + field.upper()


def load(schema, about, flags, environ, checks=()):
    """Return an instance of ``schema``; raise ``SettingsError`` with all problems.

    ``checks`` are functions of the filled tuple that yield further problems, for
    settings that must agree with each other.
    """
    hints = get_type_hints(schema)
    values, problems = {}, []
    for field in schema._fields:
        raw = flags.get(field)
        if raw is None:
            raw = environ.get(env_name(field))
        if raw is None:
            values[field] = schema._field_defaults.get(field)
            if about[field].required and not values[field]:
                problems.append(_missing(field, about[field]))
            continue
        try:
            values[field] = _convert(raw, hints[field])
        except ValueError:
            problems.append(_wrong_type(field, raw, hints[field], about[field]))
            continue
        problems.extend(_check_value(field, values[field], about[field]))
    if not problems:
        cfg = schema(**values)
        problems.extend(problem for check in checks for problem in check(cfg))
    if problems:
        raise SettingsError(problems)
    return cfg


def describe(schema, about):
    """Return rows of flag, variable, default, unit, allowed values and meaning."""
    return [
        {
            "flag": "--" + flag_name(field),
            "variable": env_name(field),
            "default": schema._field_defaults.get(field, ""),
            "unit": about[field].unit,
            "allowed": _allowed(about[field]),
            "meaning": about[field].meaning,
        }
        for field in schema._fields
    ]


def _convert(raw, kind):
    if not isinstance(raw, str):
        return raw
    if kind is bool:
        word = raw.strip().lower()
        if word in _TRUE | _FALSE:
            return word in _TRUE
        raise ValueError(raw)
    return kind(raw)


def _check_value(field, value, about):
    name = _display(field)
    if about.required and value == "":
        yield _missing(field, about)
    elif about.choices and value not in about.choices:
        yield SettingProblem(name, f"{value!r} is not allowed", _remedy(about))
    elif about.low is not None and value < about.low:
        yield SettingProblem(name, f"{value} is below {about.low}", _remedy(about))
    elif about.high is not None and value > about.high:
        yield SettingProblem(name, f"{value} is above {about.high}", _remedy(about))
    elif about.form and value and not _FORMS[about.form](value):
        yield SettingProblem(name, f"{value!r} is not {about.form}", _remedy(about))


def _is_url(value):
    try:
        parts = urlsplit(value)
        return parts.scheme in {"http", "https"} and bool(parts.port or parts.hostname)
    except ValueError:
        return False


def _is_address(value):
    host, _, port = value.rpartition(":")
    return bool(host) and port.isdigit() and 0 <= int(port) <= 65535


_FORMS = {
    "an http URL": _is_url,
    "host:port": _is_address,
    "a list of host:port": lambda value: all(map(_is_address, value.split(","))),
}


def _display(field):
    return f"--{flag_name(field)} ({env_name(field)})"


def _missing(field, about):
    return SettingProblem(_display(field), "is not set", f"Set it: {about.meaning}")


def _wrong_type(field, raw, kind, about):
    return SettingProblem(
        _display(field), f"{raw!r} is not {kind.__name__}", _remedy(about)
    )


def _remedy(about):
    allowed = _allowed(about)
    return f"Use {allowed}: {about.meaning}" if allowed else about.meaning


def _allowed(about):
    if about.choices:
        return "one of " + ", ".join(map(str, about.choices))
    unit = f" {about.unit}" if about.unit else ""
    if about.low is not None and about.high is not None:
        return f"{about.low} to {about.high}{unit}"
    if about.low is not None:
        return f"at least {about.low}{unit}"
    return about.form or about.unit
