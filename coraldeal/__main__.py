"""Command line: `coraldeal serve` is one node, `coraldeal relay` passes its list on to many nodes, `coraldeal
rig` the experiments on stand-ins.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

from coraldeal import __version__
from coraldeal.config import NodeConfig, SettingsError, read_node_config
from coraldeal.logs import set_up
from coraldeal.net.wire import parse_server_list

if TYPE_CHECKING:
    from coraldeal.operator import OperatorFile

EXAMPLES = """
examples:
  coraldeal check --config example/config.json
  coraldeal serve --config example/config.json
  coraldeal rig run experiments/calm.toml

exit status: 0 well ended; 1 a claim of an experiment does not hold; 2 bad use, configuration or address;
130 interrupted
"""


def _read(args: argparse.Namespace, env: Mapping[str, str] = os.environ) -> NodeConfig:
    if not args.config:
        raise SettingsError("no configuration: give --config FILE or set PROXY_CONFIG")
    config = read_node_config(args.config, env)
    if config.known is not None:
        try:
            parse_server_list(config.known, offset_us=0)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise SettingsError(f"setting known is not a list of servers: {error!r}") from None
    return config


def _own(args: argparse.Namespace) -> OperatorFile | None:
    """The operator's own file, where one is named."""
    if not args.operator:
        return None
    from coraldeal.operator import read_operator

    return read_operator(args.operator)


def serve(args: argparse.Namespace) -> int:
    """Run one node until SIGTERM."""
    # Kept waiting until the node can heed them: SIGHUP is the end of a process by default, SIGTERM one that
    # does not look like an end in order.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGHUP))
    from coraldeal.net.node import Node

    set_up(args.log_level)
    config, own = _read(args), _own(args)

    def read_anew() -> NodeConfig:
        # A file replaced since the start knows better than that start's environment where the list is.
        return _read(args, {key: value for key, value in os.environ.items() if key != "PROXY_DISCOVERY"})

    async def run() -> None:
        await Node(config, read_anew, own).run()

    asyncio.run(run())
    return 0


def check(args: argparse.Namespace) -> int:
    """Read the configuration and say what was understood."""
    config, own = _read(args), _own(args)
    settings = config.settings
    door = "none" if config.operator is None else "{}:{}".format(*config.operator)
    print(
        f"{config.name}: listens on {config.host}:{config.port}, tier {settings.layer}, "
        f"node {settings.self_index + 1} of {settings.instances}, "
        f"tracks {', '.join(track.name for track in settings.request_classes)}, "
        f"discovery {config.discovery or 'none'}, {config.sockets} descriptors, operators' door {door}"
    )
    if config.peers is not None:
        host, port = config.peers[settings.peer_index]
        print(f"notes: node {settings.peer_index} of {len(config.peers)}, on {host}:{port}")
    if own is not None:
        learned = "as learned from closes" if own.connections.learn else "as configured"
        oldest = own.connections.oldest_seconds
        age = f"to an age of {oldest:g} s at the most" if oldest else "however old"
        print(f"connections to servers: used again {learned}, {age}")
        if own.lists.sources:
            asked = f"services {', '.join(own.lists.services)}" if own.lists.services else "all services"
            print(f"list: from {', '.join(own.lists.sources)}, {asked}; discovery is not asked")
    return 0


def relay(args: argparse.Namespace) -> int:
    """Run one relay until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
    from coraldeal.relay.server import Relay

    set_up(args.log_level)
    own = _own(args)
    if own is None:
        raise SettingsError("no operator's file: give --operator FILE, with a table [relay]")

    async def run() -> None:
        await Relay(own.relay, os.urandom(8).hex()).run()

    asyncio.run(run())
    return 0


def version(args: argparse.Namespace) -> int:
    print(f"coraldeal {__version__}")
    return 0


def _rig(argv: list[str]) -> int:
    """The rig has needs of its own, which a node has not: it is imported only here."""
    try:
        from coraldeal.rig.command import main as rig
    except ModuleNotFoundError as error:
        text = f"the rig needs {error.name}: pip install -r requirements-rig.txt, or use make demo"
        print(f"coraldeal: {text}", file=sys.stderr)
        return 2
    return rig(argv)


def main(argv: list[str] | None = None) -> int:
    argv = sys.argv[1:] if argv is None else argv
    if argv[:1] == ["rig"]:
        return _rig(argv[1:])
    about = "A load balancer for services that call services."
    parser = argparse.ArgumentParser(
        "coraldeal", description=about, epilog=EXAMPLES, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, function, text in (
        ("serve", serve, "run one node until SIGTERM"),
        ("relay", relay, "pass the list on from its source to many nodes, until SIGTERM"),
        ("check", check, "read a configuration and say what it means"),
        ("version", version, "print the version"),
        ("rig", version, "experiments on stand-ins of callers and servers: coraldeal rig --help"),
    ):
        command = commands.add_parser(name, help=text)
        command.set_defaults(function=function)
        if function in (serve, check):
            command.add_argument(
                "--config", default=os.environ.get("PROXY_CONFIG"), help="JSON file (default: $PROXY_CONFIG)"
            )
        if function is not version:
            command.add_argument("--operator", help="the operator's own file, TOML (default: none)")
        if function in (serve, relay):
            levels = ("debug", "info", "warning", "error")
            command.add_argument("--log-level", choices=levels, default="info", help="default: info")
    args = parser.parse_args(argv)
    try:
        return int(args.function(args))
    except (SettingsError, OSError) as error:
        print(f"coraldeal: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
