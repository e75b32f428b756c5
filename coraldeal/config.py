"""Reads and checks the configuration and fills in its defaults. Each error names the faulty key.

`read_settings` parses the settings that the decisions need into the types of coraldeal.interface;
`read_node_config` parses the whole configuration file of a node.
"""

from __future__ import annotations

import ipaddress
import json
import math
import os
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from coraldeal.interface import Effect, Group, RequestClass, Settings, Tenant
from coraldeal.memory import MIB

EFFECTS = {
    "retryable": Effect.IDEMPOTENT,
    "dedup": Effect.IDEMPOTENT_BY_KEY,
    "fragile": Effect.NOT_IDEMPOTENT,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}

# Keys that a request class may lack even if all classes of the configuration before had them: only a class
# that is idempotent by key has a window and a group, and the last two are optional. Where one is required,
# parsing reports it.
OPTIONAL_CLASS_KEYS = ("window_ns", "group", "allowed_in", "shapes_open")

# Defaults for the settings that a node's configuration leaves out: a single node in front of one layer of
# servers, with cautious limits. On the simulator's wire no setting may be left out.
CLASS_DEFAULTS: dict[str, Any] = {"effect": "fragile", "payoff": 1.0, "late_payoff": 0.0}
DEFAULTS: dict[str, Any] = {
    "layer": 0,
    "instances": 1,
    "self_index": 0,
    "tick_ns": 1_000_000,
    "zone": "",
    "tenants": [],
    "beyond_share_payoff": 0.1,
    "discovery": "push",
    "bounds": {
        "max_trips": 3,
        "cancel": True,
        "peers": False,
        "retry_after": True,
        "max_retry_after_ns": 1_000_000_000,
        "conn_idle_ns": 5_000_000_000,
        "connect_timeout_ns": 200_000_000,
    },
    "rules": {
        "ask_every_ns": 10_000_000_000,
        "cold_from": 0.3,
        "warm_after_ns": 8_000_000_000,
        "fall_multiple": 3.0,
        "fall_ns": 1_000_000_000,
    },
    "reporting": {"fields": []},
}


class SettingsError(Exception):
    """A required key is missing, or a key has a value that can't be used."""


class _Reader:
    """Reads the keys of one JSON object; a SettingsError names the full path of a missing or invalid key."""

    def __init__(self, values: Any, path: str = "", defaults: dict[str, Any] | None = None) -> None:
        self.path = path
        self.defaults = defaults or {}
        if not isinstance(values, dict):
            raise SettingsError(f"{path.rstrip('.') or 'settings'} is not an object")
        self.values = values

    def has(self, key: str) -> bool:
        return self.values.get(key) is not None

    def _get(self, key: str, types: tuple[type, ...], expected: str) -> Any:
        if key in self.values:
            value = self.values[key]
        elif key in self.defaults:
            value = self.defaults[key]
        else:
            raise SettingsError(f"setting {self.path}{key} is missing")
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise SettingsError(f"setting {self.path}{key} is not {expected}")
        return value

    def integer(self, key: str) -> int:
        return int(self._get(key, (int,), "a whole number"))

    def positive_integer(self, key: str) -> int:
        value = self.integer(key)
        if value <= 0:
            raise SettingsError(f"setting {self.path}{key} is not above 0")
        return value

    def number(self, key: str) -> float:
        value = float(self._get(key, (int, float), "a number"))
        if not math.isfinite(value):
            raise SettingsError(f"setting {self.path}{key} is not a finite number")
        return value

    def positive_number(self, key: str) -> float:
        value = self.number(key)
        if value <= 0:
            raise SettingsError(f"setting {self.path}{key} is not above 0")
        return value

    def boolean(self, key: str) -> bool:
        return bool(self._get(key, (bool,), "true or false"))

    def text(self, key: str) -> str:
        return str(self._get(key, (str,), "text"))

    def choice(self, key: str, choices: dict[str, Any]) -> Any:
        value = self.text(key)
        if value not in choices:
            raise SettingsError(f"setting {self.path}{key} has the unknown value {value!r}")
        return choices[value]

    def microseconds(self, key: str) -> int:
        """Return a time that the configuration gives in nanoseconds, rounded down."""
        return self.integer(key) // 1000

    def object(self, key: str, defaults: dict[str, Any] | None = None) -> _Reader:
        values = self._get(key, (dict,), "an object")
        return _Reader(values, f"{self.path}{key}.", defaults or self.defaults.get(key))

    def objects(self, key: str, defaults: dict[str, Any] | None = None) -> list[_Reader]:
        return [_Reader(item, f"{self.path}{key}[{i}].", defaults) for i, item in enumerate(self.items(key))]

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of texts; empty where the key is missing."""
        if not self.has(key):
            return ()
        items = self.items(key)
        for index, item in enumerate(items):
            if not isinstance(item, str):
                raise SettingsError(f"setting {self.path}{key}[{index}] is not text")
        return tuple(items)

    def items(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), "a list"))


def _parse_request_class(reader: _Reader) -> RequestClass:
    effect = reader.choice("effect", EFFECTS)
    by_key = effect is Effect.IDEMPOTENT_BY_KEY
    return RequestClass(
        name=reader.text("name"),
        effect=effect,
        group=reader.choice("group", GROUPS) if by_key else Group.ALL,
        dedup_window_us=reader.microseconds("window_ns") if by_key else 0,
        latency_target_us=max(1, reader.positive_integer("expected_time_ns") // 1000),
        deadline_us=max(1, reader.positive_integer("patience_ns") // 1000),
        worth=reader.number("payoff"),
        late_worth=reader.number("late_payoff"),
        # Sorted, so that classes with the same zones and kinds in another order compare as equal.
        zones=tuple(sorted(reader.texts("allowed_in"))),
        kinds=tuple(sorted(reader.texts("shapes_open"))),
    )


def _parse_tenant(reader: _Reader) -> Tenant:
    return Tenant(reader.text("name"), reader.number("quota_per_s"))


def _parse_json(text: str, subject: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise SettingsError(f"{subject} are not JSON: {error}") from None


def read_settings(text: str) -> Settings:
    """Parse the settings from the JSON text of the simulator's `boot` event; unknown keys are ignored.

    Raises SettingsError.
    """
    return _parse_settings(_Reader(_parse_json(text, "settings")))


def _parse_settings(top: _Reader, class_defaults: dict[str, Any] | None = None) -> Settings:
    bounds, rules, reporting = top.object("bounds"), top.object("rules"), top.object("reporting")
    list_is_pulled = top.choice("discovery", {"ask": True, "push": False})
    settings = Settings(
        layer=top.integer("layer"),
        self_index=top.integer("self_index"),
        instances=max(1, top.integer("instances")),
        tick_us=top.microseconds("tick_ns"),
        zone=top.text("zone"),
        request_classes=[_parse_request_class(reader) for reader in top.objects("tracks", class_defaults)],
        tenants=[_parse_tenant(reader) for reader in top.objects("tenants")],
        beyond_share_worth=top.number("beyond_share_payoff"),
        list_is_pulled=list_is_pulled,
        pull_interval_us=rules.microseconds("ask_every_ns") if list_is_pulled else 0,
        max_attempts=bounds.positive_integer("max_trips"),
        may_cancel=bounds.boolean("cancel"),
        may_send_retry_after=bounds.boolean("retry_after"),
        max_retry_after_us=bounds.microseconds("max_retry_after_ns"),
        cold_capacity=rules.number("cold_from"),
        warm_up_us=rules.microseconds("warm_after_ns"),
        collapse_multiple=rules.number("fall_multiple"),
        collapse_window_us=rules.microseconds("fall_ns"),
        report_fields=[str(name) for name in reporting.values.get("fields") or []],
        peers=max(1, top.integer("instances")) if bounds.boolean("peers") else 0,
        peer_index=top.integer("self_index"),
    )
    names = [request_class.name for request_class in settings.request_classes]
    if duplicates := [name for index, name in enumerate(names) if name in names[:index]]:
        raise SettingsError(f"setting {top.path}tracks names {duplicates[0]!r} twice")
    return settings


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """The whole configuration of a node. Times are whole microseconds."""

    name: str
    host: str
    port: int
    # Where the admin listener listens; None: there is none.
    operator: tuple[str, int] | None
    # The address of discovery; None: there is no discovery, and the known list never changes.
    discovery: str | None
    seed: int
    # How many descriptors the node may use.
    sockets: int
    # How many bytes of memory the node may use; None: unlimited.
    memory_bytes: int | None
    # The server list that the node starts with, in discovery's format; None: there is none.
    known_list: Any
    # The values of the configuration file, without the known list.
    raw_values: Mapping[str, Any]
    conn_idle_us: int
    connect_timeout_us: int
    settings: Settings
    # The addresses of all nodes that exchange peer messages, by their numbers, this node's included; None:
    # no peer messages.
    peers: tuple[tuple[str, int], ...] | None = None


def read_address(text: str, key: str) -> tuple[str, int]:
    """Parse `address:port`; raises SettingsError, which names the setting `key`."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise SettingsError(f"setting {key} is not of the form address:port: {text!r}")
    return host.strip("[]"), int(port)


def find_missing_key(values: Any, before: Any, path: str = "") -> str:
    """Return the path of the first key of the configuration `before` that `values` lacks; empty: none.

    The items of a list have to have only the keys that all items of the list before had, because request
    classes need different keys: neither the keys that depend on the effect nor the optional ones count.
    """
    if isinstance(before, dict) and isinstance(values, dict):
        for key, value in before.items():
            key_path = f"{path}.{key}" if path else key
            if key not in values:
                return key_path
            if missing := find_missing_key(values[key], value, key_path):
                return missing
    elif isinstance(before, list) and isinstance(values, list):
        items = [item for item in before if isinstance(item, dict)]
        candidates = [key for key in (items[0] if items else {}) if key not in OPTIONAL_CLASS_KEYS]
        required = {key: None for key in candidates if all(key in item for item in items)}
        for index, item in enumerate(values):
            if missing := find_missing_key(item, required, f"{path}[{index}]"):
                return missing
    return ""


def _parse_seed(top: _Reader) -> int:
    if not top.has("seed"):
        return int.from_bytes(os.urandom(8), "big")
    text = top.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise SettingsError(f"setting seed is not a number in hexadecimal: {text!r}") from None


def read_node_config(path: str, env: Mapping[str, str]) -> NodeConfig:
    """Read the configuration file; raises SettingsError.

    PROXY_NAME, PROXY_LISTEN, PROXY_DISCOVERY and PROXY_OPERATOR in `env` override the file's values. Pass
    an `env` without PROXY_DISCOVERY when a replaced file is read again: its discovery address is newer than
    the environment's.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = _parse_json(file.read(), "the contents")
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"configuration {path}: {error}") from None
    return parse_node_config(values, env)


def _parse_peers(top: _Reader, settings: Settings) -> tuple[tuple[tuple[str, int], ...] | None, Settings]:
    """Return the addresses of the nodes that exchange peer messages, and the settings with their number.

    Only the nodes that the key `peers` lists exchange messages, whatever `instances` says.
    """
    if not top.has("peers"):
        return None, replace(settings, peers=0)
    if not settings.peers:
        raise SettingsError("setting peers is given, but settings.bounds.peers does not allow messages")
    peers = top.object("peers")
    addresses = []
    for index, text in enumerate(peers.items("nodes")):
        key = f"peers.nodes[{index}]"
        host, port = read_address(text if isinstance(text, str) else repr(text), key)
        try:
            # In the spelling that a datagram's sender has, since the two are compared.
            addresses.append((str(ipaddress.IPv4Address(host)), port))
        except ValueError:
            raise SettingsError(f"setting {key} is not an IPv4 address and port: {text!r}") from None
    if len(set(addresses)) < len(addresses):
        raise SettingsError("setting peers.nodes names an address twice")
    own_index = peers.integer("self")
    if not 0 <= own_index < len(addresses):
        raise SettingsError(f"setting peers.self is not an index into peers.nodes: {own_index}")
    return tuple(addresses), replace(settings, peers=len(addresses), peer_index=own_index)


def parse_node_config(values: Any, env: Mapping[str, str]) -> NodeConfig:
    """Check the values of a configuration file and fill in its defaults; raises SettingsError.

    `env` overrides them as in `read_node_config`.
    """
    if isinstance(values, dict):
        values = dict(values)
        overrides = {
            key: env.get(f"PROXY_{key.upper()}") for key in ("name", "listen", "discovery", "operator")
        }
        values.update({key: value for key, value in overrides.items() if value})
    top = _Reader(values)
    host, port = read_address(top.text("listen"), "listen")
    if top.has("discovery"):
        read_address(top.text("discovery"), "discovery")
    settings = top.object("settings", DEFAULTS)
    bounds = settings.object("bounds")
    peers, node_settings = _parse_peers(top, _parse_settings(settings, CLASS_DEFAULTS))
    sockets = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    memory_bytes = None
    if top.has("limits"):
        limits = top.object("limits")
        if limits.has("sockets"):
            sockets = min(sockets, limits.integer("sockets"))
        if limits.has("memory_mb"):
            memory_bytes = int(limits.positive_number("memory_mb") * MIB)
    return NodeConfig(
        name=top.text("name") if top.has("name") else "node",
        host=host,
        port=port,
        operator=read_address(top.text("operator"), "operator") if top.has("operator") else None,
        discovery=top.text("discovery") if top.has("discovery") else None,
        seed=_parse_seed(top),
        sockets=sockets,
        memory_bytes=memory_bytes,
        known_list=top.object("known").values if top.has("known") else None,
        raw_values={key: value for key, value in top.values.items() if key != "known"},
        conn_idle_us=bounds.microseconds("conn_idle_ns"),
        connect_timeout_us=bounds.microseconds("connect_timeout_ns"),
        settings=node_settings,
        peers=peers,
    )
