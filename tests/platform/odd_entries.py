"""Entries among those of the servers that another writer has left.

Each one differs from a sound entry in one field, or is no entry at all.
"""

import json

HUGE, DEEP = 10**400, 5_000
SURROGATE = "a\ud800b"
# Values of the wrong type, out of range, or unusable in what is made of them.
ODD_TEXTS = (None, 7, True, [], {}, ["x"], SURROGATE, "x" * 100_000, "a\r\nX-Evil: 1")
ODD_NUMBERS = (
    "9",
    True,
    [],
    {},
    1.5,
    -1,
    HUGE,
    -HUGE,
    2**31,
    2**63,
    2**64,
    float("nan"),
    float("inf"),
    1e308,
)
ODD_ADDRESSES = (
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8_0",
    "127.0.0.1:²",
    "127.0.0.1:٨٠",
    "127.0.0.1:80/x",
    ":80",
    "no such host:80",
    "no-such-host.invalid:80",
    "a" * 70 + ".example:80",
    "..:80",
    "user@127.0.0.1:80",
    "http://127.0.0.1:80",
    "[::1]:80",
    "::1:80",
    "127.1:80",
    "0177.0.0.1:80",
    "999.0.0.1:80",
    "127.0.0.1\r\n:80",
    SURROGATE + ":80",
)
ODD_GROUPS = (
    "g1",
    [],
    7,
    {"Name": "g1"},
    {"epoch": 1},
    *({"Name": "g1", "epoch": e, "State": "open"} for e in ("1", True, 1.5, HUGE)),
    *({"Name": "g1", "epoch": 1, "rank": r, "State": "open"} for r in ("0", -1, HUGE)),
    *({"Name": n, "epoch": 1, "State": "open"} for n in (7, SURROGATE)),
    *({"Name": "g1", "epoch": 1, "State": s} for s in (None, 7, SURROGATE)),
)
ODD_MODELS = (
    "big",
    {"Name": "big"},
    ["big"],
    [7],
    [None],
    [[]],
    [{}],
    [{"Name": 7}],
    [{"Name": SURROGATE}],
)
ODD_STAGED = ("big", [7], [None], [[]], [{}], [{"Name": 7}], [SURROGATE])
ODD_VALUES = {
    "Service": ODD_TEXTS,
    "Address": (*ODD_TEXTS, *ODD_ADDRESSES),
    "Zone": ODD_TEXTS,
    "Domain": (7, True, ["x"], {"a": 1}, SURROGATE, "x" * 100_000),
    "State": (*ODD_TEXTS, "leaving", "READY"),
    "BatchSlots": (*ODD_NUMBERS, None, 0),
    "born": [n for n in ODD_NUMBERS if n != 2**31],
    "WarmupLeftMs": [n for n in ODD_NUMBERS if n not in (1.5, -1, 2**31)],
    "Models": ODD_MODELS,
    "Staged": ODD_STAGED,
    "group": ODD_GROUPS,
}
NO_ENTRIES = (
    b" ",
    b"{",
    b"\xff\xfe\x00",
    b"\x00" * 100,
    b"null",
    b"7",
    b'"text"',
    b"[]",
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b'{"born": ' + b"9" * 5_000 + b"}",
)
# Keys that no server has: they could not be sent in a header.
ODD_KEYS = (" ", "i-1\r\nX-Evil: 1", "i-ünïcode-\u20ac", "i-\x00")


def odd_entries(sound):
    """Yield names and values of odd entries, made from the sound entry ``sound``.

    A value is bytes, as in the store.
    """
    for number, data in enumerate(NO_ENTRIES):
        yield f"no entry {number}", data
    for field, values in ODD_VALUES.items():
        for number, value in enumerate(values):
            entry = {**sound, field: value}
            yield f"{field} {number}", json.dumps(entry).encode()
    # Nested so deeply that it can just be read.
    for depth in range(500, 1_000, 25):
        nested = "[" * depth + "]" * depth
        for field in ("Domain", "Zone", "Staged"):
            entry = json.dumps({**sound, field: 0}).replace(
                f'"{field}": 0', f'"{field}": {nested}'
            )
            yield f"{field} {depth} deep", entry.encode()
    for field in ("Service", "Address", "Zone", "BatchSlots", "State"):
        entry = {name: value for name, value in sound.items() if name != field}
        yield f"no {field}", json.dumps(entry).encode()
