"""The one place where configuration is read, checked and given defaults; messages name the faulty key.

`read_settings` turns what the operators state of a deployment into the types of coraldeal.interface;
`read_node_config` reads all that a real node is told.
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

EFFECTS = {
    "retryable": Effect.IDEMPOTENT,
    "dedup": Effect.IDEMPOTENT_BY_KEY,
    "fragile": Effect.NOT_IDEMPOTENT,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}

# What a track may lack though all of those before it had it: with another effect it has neither window nor
# group, and it may be bound to nothing. Where one is needed the reading itself misses it.
MAY_LACK = ("window_ns", "group", "allowed_in", "shapes_open")

# What a node takes for settings that its configuration leaves out: one node alone in front of one tier, which
# may do little. On the bench's wire nothing may be left out.
TRACK_DEFAULTS: dict[str, Any] = {"effect": "fragile", "payoff": 1.0, "late_payoff": 0.0}
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
    """A required key is missing or holds a value that cannot be used."""


class _Reader:
    """Reads keys of one JSON object and names the full path of a key that is not as it must be."""

    def __init__(self, values: Any, path: str = "", defaults: dict[str, Any] | None = None) -> None:
        self.path = path
        self.defaults = defaults or {}
        if not isinstance(values, dict):
            raise SettingsError(f"{path.rstrip('.') or 'settings'} is not an object")
        self.values = values

    def has(self, key: str) -> bool:
        return self.values.get(key) is not None

    def _get(self, key: str, kinds: tuple[type, ...], what: str) -> Any:
        if key in self.values:
            value = self.values[key]
        elif key in self.defaults:
            value = self.defaults[key]
        else:
            raise SettingsError(f"setting {self.path}{key} is missing")
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"setting {self.path}{key} is not {what}")
        return value

    def whole(self, key: str) -> int:
        return int(self._get(key, (int,), "a whole number"))

    def above_zero(self, key: str) -> int:
        value = self.whole(key)
        if value <= 0:
            raise SettingsError(f"setting {self.path}{key} is not above 0")
        return value

    def number(self, key: str) -> float:
        value = float(self._get(key, (int, float), "a number"))
        if not math.isfinite(value):
            raise SettingsError(f"setting {self.path}{key} is not a finite number")
        return value

    def flag(self, key: str) -> bool:
        return bool(self._get(key, (bool,), "true or false"))

    def text(self, key: str) -> str:
        return str(self._get(key, (str,), "text"))

    def word(self, key: str, words: dict[str, Any]) -> Any:
        value = self.text(key)
        if value not in words:
            raise SettingsError(f"setting {self.path}{key} has the unknown value {value!r}")
        return words[value]

    def micros(self, key: str) -> int:
        return self.whole(key) // 1000

    def part(self, key: str, defaults: dict[str, Any] | None = None) -> _Reader:
        values = self._get(key, (dict,), "an object")
        return _Reader(values, f"{self.path}{key}.", defaults or self.defaults.get(key))

    def parts(self, key: str, defaults: dict[str, Any] | None = None) -> list[_Reader]:
        return [_Reader(item, f"{self.path}{key}[{i}].", defaults) for i, item in enumerate(self.items(key))]

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of texts that may be left out."""
        if not self.has(key):
            return ()
        found = self.items(key)
        for place, item in enumerate(found):
            if not isinstance(item, str):
                raise SettingsError(f"setting {self.path}{key}[{place}] is not text")
        return tuple(found)

    def items(self, key: str) -> list[Any]:
        return list(self._get(key, (list,), "a list"))


def _track(reader: _Reader) -> RequestClass:
    effect = reader.word("effect", EFFECTS)
    labelled = effect is Effect.IDEMPOTENT_BY_KEY
    return RequestClass(
        name=reader.text("name"),
        effect=effect,
        group=reader.word("group", GROUPS) if labelled else Group.ALL,
        dedup_window_us=reader.micros("window_ns") if labelled else 0,
        latency_target_us=max(1, reader.above_zero("expected_time_ns") // 1000),
        deadline_us=max(1, reader.above_zero("patience_ns") // 1000),
        worth=reader.number("payoff"),
        late_worth=reader.number("late_payoff"),
        # Sorted, so that what is bound alike is seen to be.
        zones=tuple(sorted(reader.texts("allowed_in"))),
        kinds=tuple(sorted(reader.texts("shapes_open"))),
    )


def _tenant(reader: _Reader) -> Tenant:
    return Tenant(reader.text("name"), reader.number("quota_per_s"))


def _parsed(text: str, what: str) -> Any:
    try:
        return json.loads(text)
    except ValueError as error:
        raise SettingsError(f"{what} are not JSON: {error}") from None


def read_settings(text: str) -> Settings:
    """Settings from the JSON text of a `boot` line; unknown keys are passed over."""
    return _settings(_Reader(_parsed(text, "settings")))


def _settings(top: _Reader, track_defaults: dict[str, Any] | None = None) -> Settings:
    bounds, rules, reporting = top.part("bounds"), top.part("rules"), top.part("reporting")
    asked = top.word("discovery", {"ask": True, "push": False})
    settings = Settings(
        layer=top.whole("layer"),
        self_index=top.whole("self_index"),
        instances=max(1, top.whole("instances")),
        tick_us=top.micros("tick_ns"),
        zone=top.text("zone"),
        request_classes=[_track(reader) for reader in top.parts("tracks", track_defaults)],
        tenants=[_tenant(reader) for reader in top.parts("tenants")],
        beyond_share_worth=top.number("beyond_share_payoff"),
        list_is_pulled=asked,
        pull_interval_us=rules.micros("ask_every_ns") if asked else 0,
        max_attempts=bounds.above_zero("max_trips"),
        may_cancel=bounds.flag("cancel"),
        may_send_retry_after=bounds.flag("retry_after"),
        max_retry_after_us=bounds.micros("max_retry_after_ns"),
        cold_capacity=rules.number("cold_from"),
        warm_up_us=rules.micros("warm_after_ns"),
        collapse_multiple=rules.number("fall_multiple"),
        collapse_window_us=rules.micros("fall_ns"),
        report_fields=[str(name) for name in reporting.values.get("fields") or []],
        peers=max(1, top.whole("instances")) if bounds.flag("peers") else 0,
        peer_index=top.whole("self_index"),
    )
    names = [track.name for track in settings.request_classes]
    if twice := [name for place, name in enumerate(names) if name in names[:place]]:
        raise SettingsError(f"setting {top.path}tracks names {twice[0]!r} twice")
    return settings


@dataclass(frozen=True, slots=True)
class NodeConfig:
    """All that a real node is told. Times are in whole microseconds."""

    name: str
    host: str
    port: int
    # The operators' door; None: there is none.
    operator: tuple[str, int] | None
    # None: there is no discovery, the known list stands for good.
    discovery: str | None
    seed: int
    sockets: int
    # The list of servers as this node last had it, in discovery's form.
    known: Any
    # The configuration as it was given, without that list.
    given: Mapping[str, Any]
    conn_idle_us: int
    connect_timeout_us: int
    settings: Settings
    # Where the nodes that exchange notes listen, each by its number, this one too; None: there are none.
    peers: tuple[tuple[str, int], ...] | None = None


def read_address(text: str, key: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise SettingsError(f"setting {key} is not of the form address:port: {text!r}")
    return host.strip("[]"), int(port)


def lacking(given: Any, before: Any, path: str = "") -> str:
    """The path of the first key that a configuration lacks and the one before it had; empty: it has all.

    What one kind of track alone must have, others may lack: in a list only what all items had is wanted, and
    of that nothing that depends on a track's effect or may be left out at any time.
    """
    if isinstance(before, dict) and isinstance(given, dict):
        for key, value in before.items():
            here = f"{path}.{key}" if path else key
            if key not in given:
                return here
            if found := lacking(given[key], value, here):
                return found
    elif isinstance(before, list) and isinstance(given, list):
        items = [item for item in before if isinstance(item, dict)]
        named = [key for key in (items[0] if items else {}) if key not in MAY_LACK]
        wanted = {key: None for key in named if all(key in item for item in items)}
        for place, item in enumerate(given):
            if found := lacking(item, wanted, f"{path}[{place}]"):
                return found
    return ""


def _seed(top: _Reader) -> int:
    if not top.has("seed"):
        return int.from_bytes(os.urandom(8), "big")
    text = top.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise SettingsError(f"setting seed is not a number in hexadecimal: {text!r}") from None


def read_node_config(path: str, env: Mapping[str, str]) -> NodeConfig:
    """The configuration file; PROXY_NAME, _LISTEN, _DISCOVERY and _OPERATOR overrule it where set.

    They tell of the start: of a file that was replaced since, `env` without PROXY_DISCOVERY is to be given.
    """
    try:
        with open(path, encoding="utf-8") as file:
            values = _parsed(file.read(), "the contents")
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"configuration {path}: {error}") from None
    return node_config(values, env)


def _peers(top: _Reader, settings: Settings) -> tuple[tuple[tuple[str, int], ...] | None, Settings]:
    """The nodes to exchange notes with, and the settings with how many they are: those named here alone."""
    if not top.has("peers"):
        return None, replace(settings, peers=0)
    if not settings.peers:
        raise SettingsError("setting peers is given, but settings.bounds.peers does not allow messages")
    part = top.part("peers")
    addresses = []
    for place, text in enumerate(part.items("nodes")):
        key = f"peers.nodes[{place}]"
        host, port = read_address(text if isinstance(text, str) else repr(text), key)
        try:
            # As a datagram's sender is told, to be compared with it.
            addresses.append((str(ipaddress.IPv4Address(host)), port))
        except ValueError:
            raise SettingsError(f"setting {key} is not an IPv4 address and port: {text!r}") from None
    if len(set(addresses)) < len(addresses):
        raise SettingsError("setting peers.nodes names an address twice")
    me = part.whole("self")
    if not 0 <= me < len(addresses):
        raise SettingsError(f"setting peers.self is no place in peers.nodes: {me}")
    return tuple(addresses), replace(settings, peers=len(addresses), peer_index=me)


def node_config(values: Any, env: Mapping[str, str]) -> NodeConfig:
    """A configuration already parsed, checked and given its defaults."""
    if isinstance(values, dict):
        values = dict(values)
        told = {key: env.get(f"PROXY_{key.upper()}") for key in ("name", "listen", "discovery", "operator")}
        values.update({key: value for key, value in told.items() if value})
    top = _Reader(values)
    host, port = read_address(top.text("listen"), "listen")
    if top.has("discovery"):
        read_address(top.text("discovery"), "discovery")
    settings = top.part("settings", DEFAULTS)
    bounds = settings.part("bounds")
    peers, decided = _peers(top, _settings(settings, TRACK_DEFAULTS))
    sockets = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if top.has("limits") and (limits := top.part("limits")).has("sockets"):
        sockets = min(sockets, limits.whole("sockets"))
    return NodeConfig(
        name=top.text("name") if top.has("name") else "node",
        host=host,
        port=port,
        operator=read_address(top.text("operator"), "operator") if top.has("operator") else None,
        discovery=top.text("discovery") if top.has("discovery") else None,
        seed=_seed(top),
        sockets=sockets,
        known=top.part("known").values if top.has("known") else None,
        given={key: value for key, value in top.values.items() if key != "known"},
        conn_idle_us=bounds.micros("conn_idle_ns"),
        connect_timeout_us=bounds.micros("connect_timeout_ns"),
        settings=decided,
        peers=peers,
    )
