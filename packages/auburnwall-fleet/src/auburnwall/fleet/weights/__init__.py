"""The platform's rate-limited weight store."""
