"""Request routing: admission, placement, retries, streams and router credits."""
