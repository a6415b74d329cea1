"""Apply changed settings while the node runs."""

from auburnwall.base.exceptions import AuburnwallError
from auburnwall.base.logs import event, warn

# Settings that take effect only at start; new addresses would need new sockets.
FIXED_SETTINGS = frozenset(
    {
        "node",
        "data_center",
        "front_address",
        "ready_address",
        "directory_address",
        "peer_address",
        "store_address",
        "log_format",
        "log_level",
        "pulse_s",
        "first_start",
        "max_mesh_nodes",
        "memory_mb",
        "cores",
    }
)


class SettingsReload:
    """Read the settings again and apply what has changed.

    ``cfg`` holds the settings in force. ``load()`` reads them and raises
    ``AuburnwallError`` if they are invalid; the old ones are kept then. ``listeners``
    are called with the new settings.
    """

    def __init__(self, cfg, load):
        self.cfg = cfg
        self.listeners = []
        self._load = load
        self._loaded_cfg = cfg  # As last read; its fixed settings may not be in force.
        self._error = ""

    def check(self):
        """Apply the settings if they have changed."""
        try:
            cfg = self._load()
        except AuburnwallError as exc:
            if str(exc) != self._error:
                warn("settings kept", step="reload", why=str(exc))
            self._error = str(exc)
            return
        self._error = ""
        if cfg != self._loaded_cfg:
            self._apply(cfg)

    def _apply(self, cfg):
        changed = {
            name: new
            for name, old, new in zip(cfg._fields, self._loaded_cfg, cfg, strict=True)
            if old != new
        }
        self._loaded_cfg = cfg
        fixed = sorted(FIXED_SETTINGS & changed.keys())
        self.cfg = cfg._replace(**{name: getattr(self.cfg, name) for name in fixed})
        for listener in self.listeners:
            listener(self.cfg)
        event("settings changed", step="reload", changed=changed, kept=fixed)
