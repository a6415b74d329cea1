"""Fold of configuration changes: compare-and-set on the offset of the version."""

import jsonpatch
import jsonpointer

from ..configuration.validation import find_issues
from ..records import Verdict


def fold_config(state, offset, body):
    """Apply the change if it is valid and based on the version in force."""
    if body["base"] != state.config_offset:
        return Verdict(
            False,
            offset,
            f"made from version {body['base']}, but {state.config_offset} is in force",
            state.config_offset,
        )
    try:
        config = jsonpatch.apply_patch(state.config, body["patch"])
    except (jsonpatch.JsonPatchException, jsonpointer.JsonPointerException) as exc:
        return Verdict(False, offset, f"patch does not apply: {exc}")
    issues = find_issues(config)
    if issues:
        return Verdict(False, offset, f"invalid: {issues[0].path}: {issues[0].wrong}")
    state.config = config
    state.config_offset = offset
    return Verdict(True, offset)
