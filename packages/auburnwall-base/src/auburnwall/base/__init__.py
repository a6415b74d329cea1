"""Clock, errors, settings, logs and metrics that every package shares."""
