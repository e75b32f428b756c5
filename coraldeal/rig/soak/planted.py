"""The node program with a fault that the soak is to find: `python -m coraldeal.rig.soak.planted FAULT`."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from coraldeal import __main__ as command
from coraldeal import list_calls
from coraldeal.net import accepting, callers, host, inquiry
from coraldeal.net import node as node_module


def rests_after_accept() -> None:
    """An accept that fails rests the listener for a second."""
    vars(accepting)["PAUSE_LEAST"] = vars(accepting)["PAUSE_MOST"] = 1.0


class _WallClock:
    """The time module with the wall clock in place of the steady one."""

    monotonic_ns = staticmethod(time.time_ns)

    def __getattr__(self, name: str) -> Any:
        return getattr(time, name)


def takes_wall_clock_for_time() -> None:
    """The node's one clock is the wall's."""
    vars(host)["time"] = _WallClock()


def loses_answers_at_sigterm() -> None:
    """Told to end, it ends, whatever it has taken."""
    run = node_module.Node.run

    async def ends_at_once(self: node_module.Node) -> None:
        running = asyncio.ensure_future(run(self))
        while self.phase is node_module.Phase.STARTING and not running.done():
            await asyncio.sleep(0.01)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, os._exit, 0)
        await running

    vars(node_module)["Node"].run = ends_at_once


def sends_after_departure() -> None:
    """A client that has closed its connection is served on."""
    vars(callers)["has_left"] = lambda *_: False
    live = inquiry.Inquiries.live

    async def to_its_end(self: inquiry.Inquiries, *told: Any) -> Any:
        return await asyncio.shield(asyncio.ensure_future(live(self, *told)))

    vars(inquiry)["Inquiries"].live = to_its_end


def starves_discovery() -> None:
    """Further calls are made five a second, however many wait."""

    def at_once(self: list_calls.CallPlan) -> float | None:
        return self.last_started_at + 0.2 if self.in_flight else None

    vars(list_calls)["CallPlan"].extra_call_at = at_once
    vars(list_calls)["CallPlan"].make_room = lambda *_: None


def hears_drains_late() -> None:
    """Each list is acted on a second after it came."""
    take_list = node_module.Node.apply_list

    def late(self: node_module.Node, *told: Any) -> None:
        if not self.has_list:
            take_list(self, *told)
            return
        asyncio.get_running_loop().call_later(1.0, lambda: take_list(self, *told))

    vars(node_module)["Node"].apply_list = late


FAULTS: dict[str, Callable[[], None]] = {
    "rests-after-accept": rests_after_accept,
    "takes-wall-clock-for-time": takes_wall_clock_for_time,
    "loses-answers-at-sigterm": loses_answers_at_sigterm,
    "sends-after-departure": sends_after_departure,
    "starves-discovery": starves_discovery,
    "hears-drains-late": hears_drains_late,
}


def main() -> int:
    if len(sys.argv) < 2 or sys.argv[1] not in FAULTS:
        print(f"coraldeal.rig.soak.planted: the faults are {', '.join(FAULTS)}", file=sys.stderr)
        return 2
    FAULTS[sys.argv[1]]()
    return command.main(["serve", *sys.argv[2:]])


if __name__ == "__main__":
    sys.exit(main())
