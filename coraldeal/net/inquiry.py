"""An inquiry's life, from a caller's request to the one answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import NamedTuple

from coraldeal.balance import Balancer
from coraldeal.interface import InquiryId, Outcome, ServerId
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import Answer, AttemptEnd, CallerRequest, failure

log = logging.getLogger(__name__)


class Send(NamedTuple):
    """The module's choice of a further attempt: for how long from when on."""

    server: ServerId
    timeout_us: int
    chosen_at_us: int


class Inquiry:
    """What is kept of one inquiry while it lasts."""

    __slots__ = (
        "attempt",
        "attempt_number",
        "begun",
        "choice",
        "due_us",
        "is_here",
        "left",
        "name",
        "request_id",
        "server",
        "timer",
        "withdrawn",
    )

    def __init__(
        self,
        name: InquiryId,
        request_id: str,
        is_here: Callable[[], bool],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.name = name
        self.request_id = request_id
        # Whether its client still waits, as the system knows it, and whether it was seen to have left.
        self.is_here = is_here
        self.left = False
        self.choice: asyncio.Future[Send | Answer] = loop.create_future()
        self.attempt_number = 0
        # Whom the last attempt was for.
        self.server: ServerId = ""
        # The attempt under way, and whether it is to be stopped.
        self.attempt: asyncio.Task[AttemptEnd] | None = None
        self.withdrawn = False
        # Whether something of that attempt may have been written.
        self.begun = False
        # Until when its client waits, by the node's clock.
        self.due_us = 0
        # What ends it unanswered otherwise; None before it began.
        self.timer: asyncio.Timeout | None = None

    def choose(self, choice: Send | Answer) -> None:
        """The module has chosen; the inquiry's task goes on from the loop."""
        if not self.choice.done():
            self.choice.set_result(choice)

    def withdraw(self, attempt: int) -> None:
        """Stop waiting for the attempt under way, or not yet begun; its end is told from the loop."""
        if self.attempt is None:
            self.withdrawn = attempt == self.attempt_number
        elif attempt == self.attempt_number:
            self.attempt.get_loop().call_soon(self.attempt.cancel)

    def begin(self) -> bool:
        """Whether the attempt may write its first byte; if so it has begun.

        What waited for a connection while its client left must not be sent on: nobody wants it any more. The
        loop has not seen every departure by then, nor does it look where a body waits unread.
        """
        self.left = self.left or not self.is_here()
        self.begun = not self.left
        return self.begun


class Inquiries:
    """All inquiries in hand."""

    def __init__(self, servers: ServerPool) -> None:
        self.servers = servers
        self.in_hand: dict[InquiryId, Inquiry] = {}
        # The callers' own ids of these.
        self.open_ids: set[str] = set()
        self.next_name = 0
        # When the node ends: no answer may come later than that.
        self.until: int | None = None
        self.balancer: Balancer | None = None
        # Tracks that must not run twice.
        self.irreversible: dict[str, None] = {}

    def end_by(self, until: int) -> None:
        """The node ends: what is in hand is answered by then too, however long its caller would wait.

        Guards against a kill while callers wait whose patience is longer than the end may take.
        """
        self.until = until
        at = self.servers.loop.time() + (until - self.servers.clock()) / 1e6
        for inquiry in self.in_hand.values():
            due = None if inquiry.timer is None else inquiry.timer.when()
            # One whose body is still coming has no time of its own yet, nor one that is over.
            if inquiry.timer is not None and due is not None and due > at and not inquiry.timer.expired():
                with contextlib.suppress(RuntimeError):
                    inquiry.timer.reschedule(at)

    async def live(
        self, call: CallerRequest, left_us: int, unread_us: int, is_here: Callable[[], bool]
    ) -> Answer:
        """One inquiry, from its arrival to its final answer. The task is cancelled when the client leaves.

        `unread_us` is how long it lay here before. The module is not told: it takes a try with less time left
        than usual for a later one, and would turn all of them away after each short stand-still of the node.
        """
        balancer = self.balancer
        assert balancer is not None
        if call.request_id in self.open_ids:
            # Guards the open one: servers would take this for a second copy of it.
            return failure(409)
        loop = asyncio.get_running_loop()
        name = self.next_name
        self.next_name += 1
        inquiry = self.in_hand[name] = Inquiry(name, call.request_id, is_here, loop)
        self.open_ids.add(call.request_id)
        try:
            # The module answers before the patience ends. The time-out guards against a day when it does not,
            # or when so much of the patience was over before that it does so too late, or when the node ends.
            wait_us = left_us - unread_us
            if self.until is not None:
                wait_us = min(wait_us, self.until - self.servers.clock())
            inquiry.due_us = self.servers.clock() + wait_us
            async with asyncio.timeout(wait_us / 1e6) as timer:
                inquiry.timer = timer
                balancer.inquiry_arrived(name, call.request_class, call.tenant, left_us, call.is_retry)
                while True:
                    choice = await inquiry.choice
                    if isinstance(choice, Answer):
                        if log.isEnabledFor(logging.DEBUG):
                            pairs = {"request": call.request_id, "status": choice.status}
                            log.debug("answered by decision", extra={"pairs": pairs})
                        return choice
                    inquiry.server = choice.server
                    if inquiry.withdrawn:
                        end = AttemptEnd(Outcome.NOT_STARTED, 0)
                    else:
                        inquiry.begun = False
                        inquiry.attempt = loop.create_task(
                            self._attempt(inquiry, call, choice, wait_us, timer)
                        )
                        # Shielded: an attempt outlives its inquiry where the deployment allows no
                        # withdrawals.
                        end = await asyncio.shield(inquiry.attempt)
                    inquiry.attempt = None
                    inquiry.choice = loop.create_future()
                    if call.body_stream is not None and end.outcome is not Outcome.SERVED:
                        if call.body_stream.fault is not None:
                            # The caller's own doing says nothing of the server.
                            self._attempt_ended(inquiry, end, over=True)
                            return Answer(call.body_stream.fault.status)
                        if call.body_stream.begun:
                            # No further attempt can carry all of it.
                            balancer.body_not_replayable(name)
                    if inquiry.left:
                        # Found out as its attempt was to begin; nobody hears this.
                        self._attempt_ended(inquiry, end, over=True)
                        return failure(499)
                    self._attempt_ended(inquiry, end, over=end.outcome is Outcome.SERVED)
                    if end.outcome is Outcome.SERVED and end.answer is not None:
                        return end.answer
        except TimeoutError:
            log.warning(
                "patience over unanswered", extra={"pairs": {"inquiry": name, "track": call.request_class}}
            )
            self._left(inquiry)
            return failure(504)
        except asyncio.CancelledError:
            self._left(inquiry)
            raise
        except Exception:
            # A bug must not cost the other inquiries, nor this one its answer.
            log.exception("inquiry failed", extra={"pairs": {"inquiry": name, "track": call.request_class}})
            self._left(inquiry)
            return failure(500)
        finally:
            if inquiry.attempt is None:
                self._over(inquiry)

    async def _attempt(
        self, inquiry: Inquiry, call: CallerRequest, choice: Send, wait_us: int, timer: asyncio.Timeout
    ) -> AttemptEnd:
        """One attempt; where the body is still to come, times run from its last byte on."""
        balancer = self.balancer
        assert balancer is not None

        def may_begin() -> bool:
            return balancer.may_start_attempt(inquiry.name) and inquiry.begin()

        if call.body_stream is None:

            def message() -> bytes:
                """With the time left when its first byte is written: a connection may be long in coming."""
                due_us = min(choice.chosen_at_us + choice.timeout_us, inquiry.due_us)
                return call.encode_attempt(due_us - self.servers.clock())

            return await self.servers.attempt(
                choice.server,
                message,
                choice.timeout_us,
                not_idempotent=call.request_class in self.irreversible,
                may_start=may_begin,
            )
        first_piece = call.encode_attempt(min(choice.timeout_us, wait_us))
        balancer.body_stream_started(inquiry.name)
        timer.reschedule(None)

        def count_again() -> None:
            left_us = wait_us if self.until is None else min(wait_us, self.until - self.servers.clock())
            # The inquiry may be over while its attempt is still out.
            with contextlib.suppress(RuntimeError):
                timer.reschedule(self.servers.loop.time() + left_us / 1e6)

        def sent() -> None:
            count_again()
            balancer.body_stream_ended(inquiry.name)

        try:
            return await self.servers.attempt(
                choice.server,
                first_piece,
                min(choice.timeout_us, wait_us),
                request=call,
                on_body_sent=sent,
                not_idempotent=call.request_class in self.irreversible,
                may_start=may_begin,
            )
        finally:
            if timer.when() is None:
                count_again()

    def _attempt_ended(self, inquiry: Inquiry, end: AttemptEnd, over: bool) -> None:
        assert self.balancer is not None
        number = inquiry.attempt_number
        inquiry.attempt_number += 1
        inquiry.withdrawn = False
        if log.isEnabledFor(logging.DEBUG):
            pairs = {"request": inquiry.request_id, "attempt": number, "server": inquiry.server}
            pairs |= {"outcome": end.outcome.value, "took_ms": end.latency_us // 1000, "last": over}
            log.debug("attempt ended", extra={"pairs": pairs})
        self.balancer.attempt_ended(inquiry.name, number, end.outcome, end.latency_us, over, end.report)

    def _left(self, inquiry: Inquiry) -> None:
        """The client is gone: tell the module, and the end of an attempt that is still out when it comes."""
        assert self.balancer is not None
        inquiry.left = True
        self.balancer.client_disconnected(inquiry.name)
        choice = inquiry.choice
        if inquiry.attempt is not None:
            if not inquiry.begun:
                # What was never written needs no withdrawal, and is stopped also where none are allowed.
                inquiry.attempt.cancel()
            inquiry.attempt.add_done_callback(lambda attempt: self._late_end(inquiry, attempt))
        elif choice.done() and not choice.cancelled() and isinstance(choice.result(), Send):
            # Chosen but never begun.
            self._attempt_ended(inquiry, AttemptEnd(Outcome.NOT_STARTED, 0), over=True)

    def _over(self, inquiry: Inquiry) -> None:
        if self.in_hand.pop(inquiry.name, None) is not None:
            self.open_ids.discard(inquiry.request_id)

    def _late_end(self, inquiry: Inquiry, attempt: asyncio.Task[AttemptEnd]) -> None:
        self._over(inquiry)
        if not attempt.cancelled() and attempt.exception() is None:
            answer = attempt.result().answer
            if answer is not None and answer.body_stream is not None:
                answer.body_stream.close()
        # An attempt that failed by a bug was logged with its inquiry; its server's place must be free again.
        broken = attempt.cancelled() or attempt.exception() is not None
        self._attempt_ended(inquiry, AttemptEnd(Outcome.RESET, 0) if broken else attempt.result(), over=True)
