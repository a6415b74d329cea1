"""Which of several candidates a request goes to.

Traffic pattern: many nodes place requests at the same time and learn of each other's
requests with a delay. Each node takes the least loaded of a few random candidates, so
that the nodes do not all choose the same one. Candidates of the node's own data centre
are preferred until they are busier than others. While some of the candidates are slow,
the expected time to the first event takes the place of the number of requests.
"""

# Requests by which a candidate in another data centre must be less loaded to be
# preferred.
REMOTE_PENALTY_REQUESTS = 1.5
# Candidates drawn at random from the own data centre, and again from all.
SAMPLE_SIZE = 4


def choose_candidate(
    candidates, load_of, data_center, rng, kept_free=0, start_estimate=None
):
    """Return the best candidate with a free slot, or ``None``.

    ``load_of`` returns the number of requests that a candidate has. Of the
    free slots of all candidates together, ``kept_free`` must stay free.
    ``start_estimate`` is a ``StartEstimate`` if the paces of the candidates differ, and
    ``None`` if they are chosen by the number of requests.
    """
    free = [
        (candidate, load)
        for candidate in candidates
        if (load := load_of(candidate)) < candidate.slots
    ]
    if sum(candidate.slots - load for candidate, load in free) <= kept_free:
        return None
    if start_estimate is None:
        sample = _sample(free, data_center, rng)
    else:
        # The slow candidates keep more slots free, so a sample of all candidates would
        # often hold no other.
        slow = [pair for pair in free if start_estimate.is_slow(pair[0])]
        others = [pair for pair in free if not start_estimate.is_slow(pair[0])]
        sample = _sample(others, data_center, rng) + _sample(slow, data_center, rng)

    def cost(pair):
        candidate, load = pair
        penalty = (
            REMOTE_PENALTY_REQUESTS if candidate.data_center != data_center else 0.0
        )
        # The random part, below half a request, breaks ties.
        load += penalty + rng.random() / 2
        return start_estimate.expected_s(candidate, load) if start_estimate else load

    return min(sample, key=cost)[0]


def _sample(pairs, data_center, rng):
    """Return some of the candidates of the own data centre, and some of all."""
    local = [pair for pair in pairs if pair[0].data_center == data_center]
    sample = rng.sample(local, min(SAMPLE_SIZE, len(local)))
    return sample + rng.sample(pairs, min(SAMPLE_SIZE, len(pairs)))
