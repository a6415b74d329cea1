"""Settings, configuration and requests in the format of the users' platform."""

OPERATOR_TOPIC, CONFIG_KEY = "keyed.op", "config"
READY_PATH = "/-/readyz"
KEY = "demo-key"
HOST = "shop.example"
SETTINGS = """Node={node}
Zone=norte
Ip=127.0.0.1
Listen.Front={front}
Listen.Ready={ready}
Listen.Directory={directory}
PortRange={peer_port},{peer_port}
Bounds.DrainMs=2000
Bounds.GraceS=4
Bounds.ConfigMs=2000
Bounds.BudgetRatio=0.2
Bounds.BudgetSlack=50
Bounds.BudgetWindowS=10
Platform.Address={store}
"""


def routes():
    """Return the demo's configuration in the platform's format."""
    common = {"Host": HOST, "TimeoutMs": 5000, "SloMs": 300, "GapSloMs": 200}
    engine = {
        "BatchSlots": 9,
        "KvCapacity": 900000,
        "Models": [{"Name": "big", "size": 2, "Share": 1.0, "LoadS": 1, "WarmS": 0.2}],
        "step_ms": 8.0,
        "per_seq_ms": 0.2,
        "context_per_k": 0.02,
        "read_per_s": 50000.0,
        "pairs_per_m": 0.4,
        "LoadsPerS": 5.0,
        "loads_at_once": 7,
    }
    return {
        "Version": 1,
        "Routes": [
            {
                **common,
                "Name": "ask",
                "PathPrefix": "/ask/",
                "Type": "streaming",
                "Service": "assist",
                "Attempts": 2,
                "Resumable": True,
                "Affinity": True,
            },
            {
                **common,
                "Name": "book",
                "PathPrefix": "/book/",
                "Type": "mutating",
                "Service": "desk",
                "Attempts": 1,
            },
            {
                **common,
                "Name": "look",
                "PathPrefix": "/look/",
                "Type": "idempotent",
                "Service": "desk",
                "Attempts": 2,
            },
        ],
        "Services": [
            {"Name": "assist", "HealthPath": "/healthz", "Engine": engine},
            {"Name": "desk", "HealthPath": "/healthz"},
        ],
        "Limits": {},
        "Tenants": [{"Name": "blue", "ApiKeys": [KEY]}],
    }


def resolve_path(data_center):
    """Return the path of a request for the entry points to a node's directory."""
    return f"/-/resolve?Name={HOST}&Zone={data_center}"


def request_headers(request_id, key=KEY):
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Model": "big",
        "Authorization": f"Bearer {key}",
    }


def registration_entry():
    """Return a registration as a model server writes it to the store."""
    return {
        "Service": "assist",
        "Address": "10.9.0.7:8100",
        "Zone": "norte",
        "Version": "v3",
        "BatchSlots": 9,
        "State": "ready",
        "Seqno": 4,
        "WarmupLeftMs": 0,
        "born": 1790000000123,
        "Stage": "mixed",
        "Models": [{"Name": "model-one", "Version": 1, "Adapters": []}],
        "Domain": "norte-d1",
        "Staged": ["model-two"],
        "group": {"Name": "g71", "epoch": 71, "rank": 1, "State": "ready"},
    }
