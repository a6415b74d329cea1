"""Numbers in headers, which may hold anything."""

# Digits of the largest number that is converted.
MAX_DIGITS = 18


def parse_digits(text, highest):
    """Return the whole number in a text, at most ``highest``.

    Returns ``None`` if the text holds anything but ASCII digits. ``str.isdigit`` also
    accepts others, which ``int`` does not, and ``int`` fails for very long numbers.

    >>> parse_digits("250", 1000), parse_digits("9999", 1000), parse_digits("²", 1000)
    (250, 1000, None)
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0") or "0"
    return highest if len(digits) > MAX_DIGITS else min(int(digits), highest)
