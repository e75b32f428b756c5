"""The node program with a fault that the soak must find: `python -m coraldeal.rig.soak.planted FAULT`."""

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


def pause_after_accept_failure() -> None:
    """Plant the fault that the node pauses its listener for a second when an accept fails."""
    vars(accepting)["MIN_BACKOFF"] = vars(accepting)["MAX_BACKOFF"] = 1.0


class _WallClock:
    """The time module with the wall clock in place of the monotonic clock."""

    monotonic_ns = staticmethod(time.time_ns)

    def __getattr__(self, name: str) -> Any:
        return getattr(time, name)


def use_wall_clock() -> None:
    """Plant the fault that the node measures time by the wall clock."""
    vars(host)["time"] = _WallClock()


def end_at_once_at_sigterm() -> None:
    """Plant the fault that the node ends at once at SIGTERM, whatever requests it has in progress."""
    run = node_module.Node.run

    async def run_and_end_at_once(self: node_module.Node) -> None:
        running = asyncio.ensure_future(run(self))
        while self.phase is node_module.Phase.STARTING and not running.done():
            await asyncio.sleep(0.01)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, os._exit, 0)
        await running

    vars(node_module)["Node"].run = run_and_end_at_once


def serve_departed_callers() -> None:
    """Plant the fault that the node continues with a request whose caller has closed the connection."""
    vars(callers)["has_disconnected"] = lambda *_: False
    live = inquiry.Inquiries.handle_inquiry

    async def run_to_the_end(self: inquiry.Inquiries, *arguments: Any) -> Any:
        return await asyncio.shield(asyncio.ensure_future(live(self, *arguments)))

    vars(inquiry)["Inquiries"].handle_inquiry = run_to_the_end


def flood_discovery() -> None:
    """Plant the fault that the node makes five further list calls a second, however many are pending."""

    def further_call_at_once(self: list_calls.CallPlan) -> float | None:
        return self.last_started_at + 0.2 if self.in_flight else None

    vars(list_calls)["CallPlan"].extra_call_at = further_call_at_once
    vars(list_calls)["CallPlan"].make_room = lambda *_: None


def apply_lists_late() -> None:
    """Plant the fault that the node applies each list a second after it was received."""
    take_list = node_module.Node.apply_list

    def take_list_late(self: node_module.Node, *arguments: Any) -> None:
        if not self.has_list:
            take_list(self, *arguments)
            return
        asyncio.get_running_loop().call_later(1.0, lambda: take_list(self, *arguments))

    vars(node_module)["Node"].apply_list = take_list_late


FAULTS: dict[str, Callable[[], None]] = {
    "rests-after-accept": pause_after_accept_failure,
    "takes-wall-clock-for-time": use_wall_clock,
    "loses-answers-at-sigterm": end_at_once_at_sigterm,
    "sends-after-departure": serve_departed_callers,
    "starves-discovery": flood_discovery,
    "hears-drains-late": apply_lists_late,
}


def main() -> int:
    """Plant the fault named by the first argument, and run `coraldeal serve` with the other arguments."""
    if len(sys.argv) < 2 or sys.argv[1] not in FAULTS:
        print(f"coraldeal.rig.soak.planted: FAULT must be one of {', '.join(FAULTS)}", file=sys.stderr)
        return 2
    FAULTS[sys.argv[1]]()
    return command.main(["serve", *sys.argv[2:]])


if __name__ == "__main__":
    sys.exit(main())
