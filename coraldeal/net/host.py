"""The implementation of `Host`, through which the decisions act, on the event loop.

No method calls back into the balancer. Each one passes a choice to the task of an inquiry, starts a task or
sets a timer, and all of these continue from the event loop.
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
    """Return the time of the node's only clock, which is monotonic, in microseconds."""
    return time.monotonic_ns() // 1000


class LoopHost:
    """Carries out the actions of the balancer; coraldeal.interface.Host documents its methods."""

    def __init__(self, inquiries: Inquiries, discovery: Discovery) -> None:
        self.loop = asyncio.get_running_loop()
        self.inquiries = inquiries
        self.discovery = discovery
        self.balancer: Balancer | None = None
        # Sends messages to other nodes; None if there are none.
        self.peer_transport: PeerTransport | None = None

    @property
    def now(self) -> int:
        """The time in microseconds, see `clock`."""
        return clock()

    def send(self, inquiry: InquiryId, server: ServerId, timeout_us: int) -> None:
        """Have the inquiry's task start its next attempt, at this server."""
        self._pass_choice(inquiry, Send(server, timeout_us, self.now))

    def reject(self, inquiry: InquiryId, retry_after_us: int) -> None:
        """Have the inquiry's task answer 503, with Retry-After unless it is 0."""
        self._pass_choice(inquiry, rejection(retry_after_us))

    def fail(self, inquiry: InquiryId) -> None:
        """Have the inquiry's task answer 502."""
        self._pass_choice(inquiry, failure())

    def cancel(self, inquiry: InquiryId, attempt: int) -> None:
        """Cancel the attempt with this number unless it has already ended."""
        open_inquiry = self.inquiries.in_progress.get(inquiry)
        if open_inquiry is not None:
            open_inquiry.cancel(attempt)

    def send_to_peer(self, peer: int, message: PeerMessage) -> None:
        """Send a message to another node, if messages between nodes are configured."""
        if self.peer_transport is not None:
            self.peer_transport.send(peer, message)

    def wake(self, token: str, after_us: int) -> None:
        """Set a timer that calls `Balancer.alarm` with this token."""
        self.loop.call_later(after_us / 1e6, self._alarm, token)

    def follow_list(self) -> None:
        """Start to follow the server list of discovery."""
        self.discovery.follow()

    def log(self, text: str) -> None:
        """Log a line for operators at the level info."""
        log.info(text)

    def _pass_choice(self, inquiry: InquiryId, choice: Send | Answer) -> None:
        open_inquiry = self.inquiries.in_progress.get(inquiry)
        if open_inquiry is not None:
            open_inquiry.choose(choice)

    def _alarm(self, token: str) -> None:
        assert self.balancer is not None
        self.balancer.alarm(token)
