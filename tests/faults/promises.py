"""Checks of the ten promises, P1 to P10.

They use what backend servers received, what callers got, and which configuration was
in force on each node.
"""

from collections import Counter

from .callers import BROKEN_OFF

# How long the system may take to react to a change, in seconds.
ALLOWED_DELAY_S = 3.0
# How long a new configuration may take to be in force on every node, in seconds.
CONFIG_DELAY_S = 7.0
SETTLED_S = 5.0


def violations(cluster, healthy_from):
    """Return a line for each violation of a promise and each kind of failed request.

    Failed requests count only from the time ``healthy_from``, when all faults have
    ended and the system has had time to recover.
    """
    checks = (
        _check_groups,
        _check_capacity,
        _check_data_centers,
        _check_leaving,
        _check_responses,
        _check_refusals,
        _check_at_most_once,
        _check_planned_stops,
        _check_configuration,
    )
    found = [line for check in checks for line in check(cluster)]
    return found + _check_service(cluster, healthy_from)


def _check_groups(cluster):
    """Promises 1 and 2: a serving group has all its members, each in one group."""
    late = [r for r in cluster.receipts if r.missing_for_s > ALLOWED_DELAY_S]
    if late:
        yield f"P1 group used while a VM was missing for {late[0].missing_for_s:.1f} s"
    for name, groups in cluster.groups_by_vm_generation().items():
        if len(groups) > 1:
            yield f"P2 {name} served in several groups: {sorted(groups)}"


def _check_capacity(cluster):
    """Promise 3: a backend server gets no more requests than its capacity.

    A server that loses its warm-up without a restart is known to be cold only after the
    next probe, so requests within the allowed delay do not count.
    """
    for r in cluster.receipts:
        if r.running >= r.bears and r.cold_for_s > ALLOWED_DELAY_S:
            yield (
                f"P3 {r.vm} ran {r.running} requests of at most {r.bears} "
                f"at {r.received_at:.2f}"
            )
            return


def _check_data_centers(cluster):
    """Promise 4: a data centre that is set to "out" gets no new requests."""
    for r, out_at in cluster.receipts_when_center_out:
        if r.received_at > out_at + ALLOWED_DELAY_S:
            yield (
                f"P4 {r.vm} got a request {r.received_at - out_at:.1f} s "
                f"after {r.center} was set to out"
            )
            return


def _check_leaving(cluster):
    """Promise 8: a leaving backend server gets no new requests."""
    for r in cluster.receipts:
        leaving_at = cluster.leaving_at.get(r.vm)
        if leaving_at is not None and r.received_at > leaving_at + ALLOWED_DELAY_S:
            yield (
                f"P8 {r.vm} got a request {r.received_at - leaving_at:.1f} s "
                "after it was marked as leaving"
            )
            return


def _check_responses(cluster):
    """Promise 5: a successful response is complete and belongs to its request."""
    wrong = [o for o in cluster.outcomes if o.status in (200, 201) and not o.correct]
    if wrong:
        yield f"P5 {wrong[0].request_id} got a wrong or partial response"


def _check_refusals(cluster):
    """Promise 6: a request that was refused as "not run" has not run."""
    received = {r.request_id for r in cluster.receipts}
    booked = cluster.booking_times()
    for o in cluster.outcomes:
        if o.ran != "not run":
            continue
        if o.request_id in received:
            yield f"P6 {o.request_id} was refused as not run and was received"
        if any(at <= o.ended_at for at in booked.get(o.key, ())):
            yield f"P6 {o.request_id} was refused as not run, its key had run"


def _check_at_most_once(cluster):
    """Promise 7: a key is booked at most once."""
    repeated = [key for key, times in cluster.booking_times().items() if len(times) > 1]
    if repeated:
        yield (
            f"P7 {repeated[0]} was booked "
            f"{len(cluster.booking_times()[repeated[0]])} times"
        )


def _check_planned_stops(cluster):
    """Promise 9: a planned stop or an order ends no request early."""
    for node in cluster.nodes.values():
        if node.planned_stop and not node.disturbed:
            cut_off = [
                o
                for o in cluster.outcomes
                if o.node == node.name and o.status is BROKEN_OFF
            ]
            if cut_off:
                yield f"P9 {cut_off[0].request_id} was ended by the stop of {node.name}"
    if cluster.interrupting_orders:
        at, vm = cluster.interrupting_orders[0]
        yield f"P9 an order cut off requests on {vm} at {at:.1f}"


def _check_configuration(cluster):
    """Promise 10: a new configuration is soon in force; no node returns to an old one.

    The delay is checked only in runs without faults that may increase it.
    """
    for name, seen in cluster.config_offsets_seen.items():
        offsets = [offset for _, offset in seen]
        if offsets != sorted(offsets):
            yield f"P10 the configuration went back on {name}"
    if cluster.config_versions and cluster.undisturbed:
        at, offset = cluster.config_versions[-1]
        for name, seen in cluster.config_offsets_seen.items():
            late = [o for t, o in seen if t > at + CONFIG_DELAY_S and o < offset]
            if late:
                yield f"P10 version {offset} was not in force in time on {name}"


def _check_service(cluster, healthy_from):
    """Return a line for each kind of request that failed after all faults ended."""
    judged = [o for o in cluster.outcomes if o.sent_at >= healthy_from]
    failures = Counter(
        (str(o.status), "booking" if o.key else "completion")
        for o in judged
        if not o.correct
    )
    found = [
        f"service: {n} {kind}s ended with {s}" for (s, kind), n in failures.items()
    ]
    return found if judged else ["service: nobody was served after the faults"]
