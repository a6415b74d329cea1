"""The commands, one module each."""

from .apply import ApplyCommand
from .burn import BurnCommand
from .check import CheckCommand
from .diff import DiffCommand
from .explain import ExplainCommand
from .loadgen import LoadgenCommand
from .node_drain import NodeDrainCommand
from .settings import SettingsCommand
from .status import StatusCommand

COMMANDS = (
    ApplyCommand,
    BurnCommand,
    CheckCommand,
    DiffCommand,
    ExplainCommand,
    LoadgenCommand,
    NodeDrainCommand,
    SettingsCommand,
    StatusCommand,
)
