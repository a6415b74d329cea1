"""Status of a node and of the groups and VMs that it knows, for operators."""


def status_of(components):
    """Return the node's status as a dictionary of JSON values.

    ``folded`` is the offset up to which log records are applied to the state.
    ``word_age_ms`` is how long ago the node last knew that it had read up to the log's
    end, ``None`` if it never did. ``in_touch`` lists the reachable peers. ``stewards``
    lists the leases that this incarnation has taken and not released.
    """
    state = components.follower.state
    age_s = components.follower.log_end_age_s()
    appends, claimed = components.claims.counts()
    return {
        "node": components.identity.node,
        "incarnation": components.identity.incarnation,
        "data_center": components.identity.data_center,
        "mode": components.membership.freshness().value,
        "draining": components.membership.draining,
        "folded": state.offset,
        "config_offset": state.config_offset,
        "word_age_ms": None if age_s is None else round(age_s * 1000),
        "running": components.gateway.running(),
        "waiting": components.gateway.waiting(),
        "in_touch": sorted(
            view.node for view in components.membership.reachable_peers()
        ),
        "appends": {"control": components.proposer.appends, "claims": appends},
        "claimed": claimed,
        "stewards": sorted(
            lease.name
            for lease in state.leases.values()
            if lease.incarnation == components.identity.incarnation
            and not lease.released
        ),
        "tasks": len(components.tasks),
        "groups": [_group(components, group) for group in state.groups.values()],
        "vms": [_vm(components, entry) for entry in components.roster.entries.values()],
    }


def _group(components, group):
    return {
        "group": group.name,
        "model": group.model,
        "version": group.version,
        "selector": group.selector,
        "data_center": group.data_center,
        "generation": group.generation,
        "vms": list(group.vms),
        "obstacle": components.directory.obstacle(group),
    }


def _vm(components, entry):
    report = components.evidence.report(entry.name)
    return {
        "vm": entry.name,
        "data_center": entry.data_center,
        "fabric_domain": entry.fabric_domain,
        "leaving": entry.leaving,
        "group": components.follower.state.group_of_vm.get(entry.name, ""),
        "state": report.state if report else "no evidence",
        "generation": report.generation if report else 0,
        "running": report.running if report else 0,
        "bears": report.bears if report else 0,
    }
