"""The module's `Host` on the event loop.

Nothing that an act causes comes back to the module inside its own call: each act leaves a choice with an
inquiry's task, starts a task, or sets a timer, and all of these run from the loop.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from coraldeal.balance import Balancer
from coraldeal.interface import InquiryId, PeerMessage, ServerId
from coraldeal.net.discovery import Discovery
from coraldeal.net.inquiry import Inquiries, Send
from coraldeal.net.wire import Answer, failure, rejection

if TYPE_CHECKING:
    from coraldeal.net.peer_transport import PeerTransport

log = logging.getLogger("coraldeal.balance")


def clock() -> int:
    """The node's one clock: monotonic, in whole microseconds."""
    return time.monotonic_ns() // 1000


class LoopHost:
    """Carries out what the decisions ask for."""

    def __init__(self, inquiries: Inquiries, discovery: Discovery) -> None:
        self.loop = asyncio.get_running_loop()
        self.inquiries = inquiries
        self.discovery = discovery
        self.balancer: Balancer | None = None
        # Notes to other nodes go by it; None: there are none.
        self.carrier: PeerTransport | None = None

    @property
    def now(self) -> int:
        return clock()

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None:
        self._choose(inquiry, Send(server, timeout_us, self.now))

    def reject(self, inquiry: InquiryId, retry_after_us: int) -> None:
        self._choose(inquiry, rejection(retry_after_us))

    def fail(self, inquiry: InquiryId) -> None:
        self._choose(inquiry, failure())

    def cancel(self, inquiry: InquiryId, attempt: int) -> None:
        known = self.inquiries.in_hand.get(inquiry)
        if known is not None:
            known.withdraw(attempt)

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        if self.carrier is not None:
            self.carrier.send(peer, message)

    def wake(self, token: str, after_us: int) -> None:
        self.loop.call_later(after_us / 1e6, self._alarm, token)

    def follow_list(self) -> None:
        self.discovery.follow()

    def log(self, text: str) -> None:
        log.info(text)

    def _choose(self, inquiry: InquiryId, choice: Send | Answer) -> None:
        known = self.inquiries.in_hand.get(inquiry)
        if known is not None:
            known.choose(choice)

    def _alarm(self, token: str) -> None:
        assert self.balancer is not None
        self.balancer.alarm(token)
