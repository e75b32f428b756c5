"""What one process of a node has learned, as plain values for its successor. No I/O and no decisions.

Times are by the system's monotonic clock, which both processes share. The keys stay when an attribute is
renamed, since another version of the program may write or read them.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from coraldeal.balance import Balancer
from coraldeal.interface import ServerId

# By stored key: the attribute of a request class, of a server, and of the balancer.
REQUEST_CLASS_KEYS = {
    "answers": "answers",
    "calm": "baseline_latency",
    "mean": "mean_latency",
    "median": "median_latency",
    "slow": "p90_latency",
}
SERVER_KEYS = {
    "answers": "answers",
    "cap": "concurrency_limit",
    "cold_at": "slow_start_refilled_at",
    "cold_tokens": "slow_start_tokens",
    "credit": "retry_budget",
    "fail_share": "failure_rate",
    "halved_at": "limit_lowered_at",
    "pace": "latency_ratio",
    "rest_until": "ejected_until",
    "strikes": "consecutive_ejections",
    "turns": "turn_weight",
}
NODE_KEYS = {
    "arrival_rate": "metered_rate",
    "bound": "global_limit",
    "burst": "bucket_size",
    "floor": "min_token_rate",
    "pace": "target_ratio",
    "rate": "token_rate",
    "refilled_at": "refilled_at",
    "rise": "rate_step",
    "send_rate": "send_rate",
    "seen_rate": "seen_rate",
    "served_rate": "served_rate",
    "started": "started_at",
    "tokens": "tokens",
}
# Of the subset of all servers. The other subsets compute their medians within a quarter second.
DEFAULT_SUBSET_KEYS = {"median_fail_share": "median_failure_rate", "median_pace": "median_latency_ratio"}


def _values(of: object, keys: dict[str, str]) -> dict[str, float]:
    return {key: getattr(of, attribute) for key, attribute in keys.items()}


def learned(balancer: Balancer) -> dict[str, Any]:
    """Return what the successor should know besides the server list."""
    return {
        "node": _values(balancer, NODE_KEYS),
        "whole": _values(balancer.default_subset, DEFAULT_SUBSET_KEYS),
        "tracks": {
            name: _values(class_state, REQUEST_CLASS_KEYS)
            for name, class_state in balancer.request_classes.items()
        },
        "servers": {name: _values(server, SERVER_KEYS) for name, server in balancer.servers.items()},
        "left_out": balancer.in_maintenance,
    }


def resume(balancer: Balancer, state: dict[str, Any], servers: Collection[ServerId]) -> None:
    """Restore what the predecessor learned, of servers only about these; unknown keys are ignored.

    A state that can't be read, which may come from another version of the program, raises LookupError,
    TypeError, ValueError or AttributeError and changes nothing.
    """
    targets: list[tuple[Any, Any, dict[str, str]]] = [(balancer, state["node"], NODE_KEYS)]
    targets.append((balancer.default_subset, state.get("whole", {}), DEFAULT_SUBSET_KEYS))
    targets += [
        (class_state, state["tracks"].get(name, {}), REQUEST_CLASS_KEYS)
        for name, class_state in balancer.request_classes.items()
    ]
    targets += [
        (balancer.servers[name], state["servers"].get(name, {}), SERVER_KEYS)
        for name in servers
        if name in balancer.servers
    ]
    numbers = [
        (target, attribute, type(getattr(target, attribute))(values[key]))
        for target, values, keys in targets
        for key, attribute in keys.items()
        if key in values
    ]
    for target, attribute, number in numbers:
        setattr(target, attribute, number)
    balancer.update_servers()


def resume_maintenance(balancer: Balancer, state: dict[str, Any]) -> None:
    """Continue the maintenance of servers that the predecessor has in maintenance; raises as `resume`."""
    in_maintenance = {str(server): int(since) for server, since in state["left_out"].items()}
    balancer.in_maintenance = {**in_maintenance, **balancer.in_maintenance}
    balancer.update_servers()
