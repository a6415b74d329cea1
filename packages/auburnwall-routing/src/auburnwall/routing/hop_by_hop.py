"""Names of hop-by-hop headers, which are not forwarded (RFC 9110, 7.6.1)."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)


def end_to_end_headers(headers):
    """Return a response's headers that are passed on to the caller, as pairs."""
    return [(n, v) for n, v in headers.items() if n.lower() not in HOP_BY_HOP]
