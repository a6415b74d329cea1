"""Run stand-ins in a process: ``python -m standins NAME [--address HOST:PORT]``."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402

from gevent.event import Event  # noqa: E402

from .booking import BookingService  # noqa: E402
from .engine import EngineFleet  # noqa: E402
from .log import LogStandin  # noqa: E402
from .platform import VmListStandin, WeightStoreStandin  # noqa: E402
from .usersplatform import UsersPlatform  # noqa: E402


def main():
    """Start the stand-in that the arguments name and serve until killed."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument(
        "name",
        choices=[
            "log",
            "vm-list",
            "weight-store",
            "engines",
            "booking",
            "users-platform",
        ],
    )
    parser.add_argument("--address", required=True)
    parser.add_argument("--weight-store-url", default="")
    parser.add_argument("--members", default="", help="vm=host:port,...")
    parser.add_argument("--doors", default="", help="further addresses of the store")
    parser.add_argument("--services", default="", help="further plain services")
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--warm-up-s", type=float, default=2.0)
    args = parser.parse_args()
    if args.name == "engines":
        standin = EngineFleet(
            args.address,
            weight_store_url=args.weight_store_url,
            token_s=args.token_s,
            warm_up_s=args.warm_up_s,
        )
        for member in filter(None, args.members.split(",")):
            vm, _, address = member.partition("=")
            standin.add(vm, address)
    elif args.name == "users-platform":
        doors, services = (
            list(filter(None, names.split(",")))
            for names in (args.doors, args.services)
        )
        standin = UsersPlatform(args.address, doors, services)
    else:
        standin = {
            "log": LogStandin,
            "vm-list": VmListStandin,
            "weight-store": WeightStoreStandin,
            "booking": BookingService,
        }[args.name](args.address)
    standin.server.start()
    Event().wait()


if __name__ == "__main__":
    main()
