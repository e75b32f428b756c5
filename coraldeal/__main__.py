"""The command line: `coraldeal serve` runs a node, `coraldeal relay` passes the server list on to many nodes,
and `coraldeal rig` runs experiments between stand-in clients and servers.
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
from coraldeal.logs import configure_logging
from coraldeal.net.wire import parse_server_list

if TYPE_CHECKING:
    from coraldeal.operator import OperatorFile

EXAMPLES = """
examples:
  coraldeal check --config example/config.json
  coraldeal serve --config example/config.json
  coraldeal rig run experiments/calm.toml

exit status: 0 success; 1 an assertion of an experiment failed; 2 wrong usage, configuration or address;
130 interrupted
"""


def _read_config(args: argparse.Namespace, env: Mapping[str, str] = os.environ) -> NodeConfig:
    if not args.config:
        raise SettingsError("no configuration: give --config FILE or set PROXY_CONFIG")
    config = read_node_config(args.config, env)
    if config.known_list is not None:
        try:
            parse_server_list(config.known_list, offset_us=0)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise SettingsError(f"setting known is not a list of servers: {error!r}") from None
    return config


def _read_operator_file(args: argparse.Namespace) -> OperatorFile | None:
    """Read the operator's file; None where the command line names none."""
    if not args.operator:
        return None
    from coraldeal.operator import read_operator_file

    return read_operator_file(args.operator)


def serve(args: argparse.Namespace) -> int:
    """Run one node until SIGTERM."""
    # Blocked until the node handles them: by default both end the process, SIGTERM with a status that looks
    # like a failure.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGHUP))
    from coraldeal.net.node import Node

    configure_logging(args.log_level)
    config, operator_file = _read_config(args), _read_operator_file(args)

    def reload_config() -> NodeConfig:
        # A file replaced after the start has a newer discovery address than the environment of the start.
        return _read_config(
            args, {key: value for key, value in os.environ.items() if key != "PROXY_DISCOVERY"}
        )

    async def run() -> None:
        await Node(config, reload_config, operator_file).run()

    asyncio.run(run())
    return 0


def _describe_memory(memory_bytes: int, sockets: int) -> str:
    """Return what fits into the memory limit, for a node as large as this process with a node's modules."""
    import coraldeal.net.node  # noqa: F401
    from coraldeal.limits import plan_limits
    from coraldeal.memory import MIB
    from coraldeal.net.memory import process_size

    limits = plan_limits(sockets, memory_bytes, 1.0, process_size())
    text = (
        f"memory: {memory_bytes // MIB} MiB hold {limits.connections} connections, "
        f"{limits.requests} requests in progress and {(limits.message_bytes or 0) // 1024} KiB of messages"
    )
    if limits.is_memory_short:
        text += "; that is fewer connections than descriptors, further ones wait to be accepted"
    return text


def check(args: argparse.Namespace) -> int:
    """Read the configuration and print what it means."""
    config, operator_file = _read_config(args), _read_operator_file(args)
    settings = config.settings
    admin_address = "none" if config.operator is None else "{}:{}".format(*config.operator)
    print(
        f"{config.name}: listens on {config.host}:{config.port}, layer {settings.layer}, "
        f"node {settings.self_index + 1} of {settings.instances}, "
        f"request classes {', '.join(item.name for item in settings.request_classes)}, "
        f"discovery {config.discovery or 'none'}, {config.sockets} descriptors, "
        f"admin listener {admin_address}"
    )
    if config.memory_bytes is not None:
        print(_describe_memory(config.memory_bytes, config.sockets))
    if config.peers is not None:
        host, port = config.peers[settings.peer_index]
        print(f"peer messages: node {settings.peer_index} of {len(config.peers)}, on {host}:{port}")
    if operator_file is not None:
        idle_limit = "as learned from closes" if operator_file.connections.learn else "as configured"
        oldest = operator_file.connections.oldest_seconds
        age_limit = f"up to an age of {oldest:g} s" if oldest else "at any age"
        print(f"connections to servers: reused {idle_limit}, {age_limit}")
        if operator_file.lists.sources:
            services = (
                f"services {', '.join(operator_file.lists.services)}"
                if operator_file.lists.services
                else "all services"
            )
            print(
                f"server list: from {', '.join(operator_file.lists.sources)}, {services}; "
                "discovery is not used"
            )
    return 0


def relay(args: argparse.Namespace) -> int:
    """Run one relay until SIGTERM."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
    from coraldeal.relay.server import Relay

    configure_logging(args.log_level)
    operator_file = _read_operator_file(args)
    if operator_file is None:
        raise SettingsError("no operator's file: give --operator FILE, with a table [relay]")

    async def run() -> None:
        await Relay(operator_file.relay, os.urandom(8).hex()).run()

    asyncio.run(run())
    return 0


def version(args: argparse.Namespace) -> int:
    """Print the version."""
    print(f"coraldeal {__version__}")
    return 0


def _run_rig(argv: list[str]) -> int:
    """Run the rig. It is imported only here, since it needs packages that a node runs without."""
    try:
        from coraldeal.rig.command import main as rig_main
    except ModuleNotFoundError as error:
        text = f"the rig needs {error.name}: pip install -r requirements-rig.txt, or use make demo"
        print(f"coraldeal: {text}", file=sys.stderr)
        return 2
    return rig_main(argv)


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit status; `argv` is the command line without the program's name."""
    argv = sys.argv[1:] if argv is None else argv
    if argv[:1] == ["rig"]:
        return _run_rig(argv[1:])
    description = "A load balancer for services that call services."
    parser = argparse.ArgumentParser(
        "coraldeal",
        description=description,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, function, text in (
        ("serve", serve, "run one node until SIGTERM"),
        ("relay", relay, "pass the server list on to many nodes until SIGTERM"),
        ("check", check, "read a configuration and print what it means"),
        ("version", version, "print the version"),
        ("rig", version, "experiments between stand-in clients and servers: coraldeal rig --help"),
    ):
        command = commands.add_parser(name, help=text)
        command.set_defaults(function=function)
        if function in (serve, check):
            command.add_argument(
                "--config", default=os.environ.get("PROXY_CONFIG"), help="JSON file (default: $PROXY_CONFIG)"
            )
        if function is not version:
            command.add_argument("--operator", help="the operator's file, TOML (default: none)")
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
