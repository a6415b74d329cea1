"""Headers of a request that a node forwards to a peer; see ``detour``."""

# The name of the node to which the caller sent the request.
FORWARDED_BY = "Auburnwall-Forwarded-By"
# To how many backend servers the peer may send the request.
SERVERS_LEFT = "Auburnwall-Servers-Left"


def max_servers_of(call, route):
    """Return to how many backend servers a request may be sent at this node."""
    left = call.header(SERVERS_LEFT) or ""
    if not left.isdigit():
        return route.max_servers
    return max(1, min(route.max_servers, int(left)))
