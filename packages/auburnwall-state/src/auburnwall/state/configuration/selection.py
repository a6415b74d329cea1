"""Match the configuration with VMs, times of day, API keys and service calls."""

from datetime import datetime
from fnmatch import fnmatchcase
from hashlib import sha256
from zoneinfo import ZoneInfo


def labels_of(config, vm):
    """Return the labels of a VM.

    The names of entries in ``[vms]`` may be patterns (``"nc-*"``). Labels of later
    entries override those of earlier ones.
    """
    labels = {}
    for pattern, entry in config.get("vms", {}).items():
        if fnmatchcase(vm, pattern):
            labels.update(entry["labels"])
    return labels


def matches(where, labels):
    """Return whether ``labels`` has an allowed value for every key of ``where``."""
    return all(
        labels.get(key) == allowed
        or (isinstance(allowed, list) and labels.get(key) in allowed)
        for key, allowed in where.items()
    )


def is_active_at(selector, epoch_s):
    """Return whether the time is within a selector's hours, in its own time zone.

    The start is included and the end is not. The hours may span midnight. A selector
    without hours always applies.
    """
    if "from" not in selector:
        return True
    local = datetime.fromtimestamp(epoch_s, ZoneInfo(selector["zone"]))
    now = local.strftime("%H:%M")
    start, end = selector["from"], selector["until"]
    if start <= end:
        return start <= now < end
    return now >= start or now < end


def team_of_key(config, key):
    """Return the name of the team that an API key belongs to, or ``None``."""
    digest = "sha256:" + sha256(key.encode()).hexdigest()
    for team, entry in config.get("teams", {}).items():
        if digest in entry["keys"]:
            return team
    return None


def is_idempotent(service, method, path):
    """Return whether a service declares a call idempotent, which permits retries."""
    call = f"{method} {path}"
    return any(fnmatchcase(call, pattern) for pattern in service.get("idempotent", ()))
