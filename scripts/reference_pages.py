"""Write the reference page of the settings from their descriptions in the code.

``python scripts/reference_pages.py`` rewrites ``docs/ref/settings.md``; a test checks
that the page is up to date.
"""

from pathlib import Path

from auburnwall.base.settings import describe
from auburnwall.cli.settings import SETTING_SPECS as CLI_SETTING_SPECS
from auburnwall.cli.settings import CliSettings
from auburnwall.node.routed.settings import SETTING_SPECS as ROUTED_SETTING_SPECS
from auburnwall.node.routed.settings import RoutedSettings
from auburnwall.node.settings import SETTING_SPECS as NODE_SETTING_SPECS
from auburnwall.node.settings import NodeSettings

PAGE = Path(__file__).parent.parent / "docs" / "ref" / "settings.md"
COLUMNS = ("flag", "variable", "default", "allowed", "meaning")


def settings_page():
    """Return the text of the page in Markdown."""
    parts = [
        "# Settings",
        "A flag wins over the variable, which wins over the default. Everything bad is "
        "named at once, with a way to mend it, and the program ends with 2.",
        "## auburnwalld",
        _table(describe(NodeSettings, NODE_SETTING_SPECS)),
        "## A node on the users' platform",
        "The platform's file sets most of these; the variables hold where it says "
        "nothing.",
        _table(describe(RoutedSettings, ROUTED_SETTING_SPECS)),
        "## auburnwall",
        _table(describe(CliSettings, CLI_SETTING_SPECS)),
    ]
    return "\n\n".join(parts) + "\n"


def _table(rows):
    lines = [" | ".join(COLUMNS), " | ".join("---" for _ in COLUMNS)]
    lines += [" | ".join(str(row[name]) for name in COLUMNS) for row in rows]
    return "\n".join(f"| {line} |" for line in lines)


if __name__ == "__main__":
    PAGE.write_text(settings_page(), "utf-8")
