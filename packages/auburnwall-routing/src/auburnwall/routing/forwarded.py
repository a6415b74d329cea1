"""Headers of a request that a node forwards to a peer; see ``detour``."""

from auburnwall.base.digits import parse_digits

# The name of the node to which the caller sent the request.
FORWARDED_BY = "Auburnwall-Forwarded-By"
# To how many backend servers the peer may send the request.
SERVERS_LEFT = "Auburnwall-Servers-Left"


def max_servers_of(call, route):
    """Return to how many backend servers a request may be sent at this node."""
    left = parse_digits(call.header(SERVERS_LEFT) or "", route.max_servers)
    return route.max_servers if left is None else max(1, left)
