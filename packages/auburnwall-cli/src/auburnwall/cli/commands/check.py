"""``auburnwall check``: validate a configuration file offline."""

from cleo.helpers import argument

from auburnwall.state.configuration.files import ConfigFileError, load_file

from ..base import BaseCommand
from ..exceptions import EXIT_BAD_INPUT


class CheckCommand(BaseCommand):
    """List all errors of a file, each with its path and the allowed values."""

    name = "check"
    description = "Validate a configuration file without touching anything."
    arguments = [argument("file", "TOML file to check")]

    def run_command(self):
        """Check the file."""
        path = self.argument("file")
        try:
            config = load_file(path)
        except ConfigFileError as exc:
            rows = [{"file": path, **issue._asdict()} for issue in exc.issues]
            self.show_rows(rows, ["file", "path", "wrong", "allowed"])
            return EXIT_BAD_INPUT
        counts = ", ".join(f"{len(config[name])} {name}" for name in sorted(config))
        self.show_text(f"{path}: good ({counts})")
        if self.cfg.format == "json":
            self.show_json([])
        return None
