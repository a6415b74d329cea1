"""Read configuration files."""

import tomllib
from pathlib import Path

from ..exceptions import StateError
from .validation import Issue, find_issues


class ConfigFileError(StateError):
    """A configuration file is unreadable or invalid; ``issues`` lists every fault."""

    def __init__(self, path, issues):
        self.path = path
        self.issues = issues
        lines = [
            f"{path}: {issue.path}: {issue.wrong} (allowed: {issue.allowed})"
            for issue in issues
        ]
        super().__init__("\n".join(lines), step="check configuration")

    def __str__(self):
        return self.detail


def load_file(path):
    """Return the configuration in a TOML file, after validation.

    Raises ``ConfigFileError`` if the file can't be read or is invalid.
    """
    try:
        config = tomllib.loads(Path(path).read_text("utf-8"))
    except OSError as exc:
        wrong = exc.strerror or str(exc)
        raise ConfigFileError(
            path, [Issue("(file)", wrong, "a readable file")]
        ) from exc
    except UnicodeDecodeError as exc:
        issue = Issue("(file)", f"not UTF-8: {exc.reason}", "text in UTF-8")
        raise ConfigFileError(path, [issue]) from exc
    except tomllib.TOMLDecodeError as exc:
        raise ConfigFileError(path, [Issue("(file)", str(exc), "TOML 1.0")]) from exc
    issues = find_issues(config)
    if issues:
        raise ConfigFileError(path, issues)
    return config
