"""Which of several candidates a request goes to.

Traffic pattern: many nodes place requests at the same time and learn of each other's
requests with a delay. Each node takes the least loaded of a few random candidates, so
that the nodes do not all choose the same one. Candidates of the node's own data centre
are preferred until they are busier than others.
"""

# Requests by which a candidate in another data centre must be less loaded to be
# preferred.
REMOTE_PENALTY_REQUESTS = 1.5
# Candidates drawn at random from the own data centre, and again from all.
SAMPLE_SIZE = 4


def choose_candidate(candidates, load_of, data_center, rng, kept_free=0):
    """Return the best candidate with a free slot, or ``None``.

    ``load_of`` returns the number of requests that a candidate has. Of the
    free slots of all candidates together, ``kept_free`` must stay free.
    """
    free = [
        (candidate, load)
        for candidate in candidates
        if (load := load_of(candidate)) < candidate.slots
    ]
    if sum(candidate.slots - load for candidate, load in free) <= kept_free:
        return None
    local = [pair for pair in free if pair[0].data_center == data_center]
    sample = rng.sample(local, min(SAMPLE_SIZE, len(local)))
    sample += rng.sample(free, min(SAMPLE_SIZE, len(free)))

    def cost(pair):
        candidate, load = pair
        penalty = (
            REMOTE_PENALTY_REQUESTS if candidate.data_center != data_center else 0.0
        )
        # The random part, below half a request, breaks ties.
        return load + penalty + rng.random() / 2

    return min(sample, key=cost)[0]
