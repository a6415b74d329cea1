"""Which of several candidates a request goes to.

Load pattern: many nodes place at once and know of each other's requests with a delay.
Each node takes the least loaded of a few random candidates, so that they do not all
run to the same one; those of its own data centre go first until they are busier.
"""

# Requests by which a candidate in another data centre must be less loaded.
FAR_PENALTY = 1.5
# Candidates that a choice looks at.
SAMPLE = 4


def choose_candidate(candidates, load_of, data_center, rng, reserved=0):
    """Return the best candidate with a free slot, or ``None``.

    ``load_of`` gives the requests that a candidate has; ``reserved`` of all free
    slots together are not for this request.
    """
    free = [
        (candidate, load)
        for candidate in candidates
        if (load := load_of(candidate)) < candidate.slots
    ]
    if sum(candidate.slots - load for candidate, load in free) <= reserved:
        return None
    near = [pair for pair in free if pair[0].data_center == data_center]
    sample = rng.sample(near, min(SAMPLE, len(near)))
    sample += rng.sample(free, min(SAMPLE, len(free)))

    def cost(pair):
        candidate, load = pair
        far = FAR_PENALTY if candidate.data_center != data_center else 0.0
        return load + far + rng.random() / 2

    return min(sample, key=cost)[0]
