"""The course of an inquiry, from a caller's request through its attempts to its one answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import NamedTuple

from coraldeal.balance import Balancer
from coraldeal.interface import InquiryId, Outcome, ServerId
from coraldeal.net.bodies import StreamedBody
from coraldeal.net.servers import ServerPool
from coraldeal.net.wire import Answer, AttemptEnd, CallerRequest, failure
from coraldeal.repeats import RecentRequests, digest_of

log = logging.getLogger(__name__)


# Seconds before its client's deadline at which an answer that is still incomplete is given up, so that the
# decisions answer in time.
ANSWER_MARGIN = 0.02


class Send(NamedTuple):
    """The balancer's choice to start an attempt, with its timeout and the time of the choice."""

    server: ServerId
    timeout_us: int
    chosen_at_us: int


class Inquiry:
    """One inquiry in progress."""

    __slots__ = (
        "attempt_number",
        "attempt_started",
        "attempt_task",
        "body_stream",
        "cancel_requested",
        "choice",
        "client_left",
        "deadline_at",
        "deadline_us",
        "id",
        "is_connected",
        "may_have_run",
        "request_id",
        "server",
        "timeout",
    )

    def __init__(
        self,
        inquiry_id: InquiryId,
        request_id: str,
        is_connected: Callable[[], bool],
        loop: asyncio.AbstractEventLoop,
        body_stream: StreamedBody | None = None,
    ) -> None:
        self.id = inquiry_id
        # The request's body, if it is forwarded as it arrives.
        self.body_stream = body_stream
        self.request_id = request_id
        # Asks the system whether the client is still connected; `client_left`: it was seen to disconnect.
        self.is_connected = is_connected
        self.client_left = False
        # The balancer's next choice.
        self.choice: asyncio.Future[Send | Answer] = loop.create_future()
        self.attempt_number = 0
        # The server of the last attempt.
        self.server: ServerId = ""
        # The current attempt, and whether it is to be cancelled before it has a task.
        self.attempt_task: asyncio.Task[AttemptEnd] | None = None
        self.cancel_requested = False
        # Whether bytes of the current attempt may have been written, and whether any attempt may have run.
        self.attempt_started = False
        self.may_have_run = False
        # The client's deadline, by the node's clock and in seconds of the event loop's.
        self.deadline_us = 0
        self.deadline_at = 0.0
        # Expires if nothing else ends the inquiry; None before the inquiry started.
        self.timeout: asyncio.Timeout | None = None

    def choose(self, choice: Send | Answer) -> None:
        """Pass the balancer's choice to the inquiry's task, which continues from the event loop."""
        if not self.choice.done():
            self.choice.set_result(choice)

    def cancel(self, attempt: int) -> None:
        """Cancel the current attempt or one not yet started; its end is reported from the event loop."""
        if self.attempt_task is None:
            self.cancel_requested = attempt == self.attempt_number
        elif attempt == self.attempt_number:
            self.attempt_task.get_loop().call_soon(self.attempt_task.cancel)

    def attempt_may_have_run(self) -> bool:
        """Return whether a server may have started on the current attempt: it has the last byte."""
        return self.attempt_started and (self.body_stream is None or self.body_stream.is_sent)

    def start_attempt(self) -> bool:
        """Return whether the attempt may write its first byte; it counts as started then.

        An attempt that waited for a connection while its client disconnected must not be sent, since nobody
        wants its answer. The event loop has not seen every disconnect by then, and it does not look for one
        behind an unread body, so the system is asked.
        """
        self.client_left = self.client_left or not self.is_connected()
        self.attempt_started = not self.client_left
        return self.attempt_started


class Inquiries:
    """All inquiries in progress."""

    def __init__(self, servers: ServerPool) -> None:
        self.servers = servers
        self.in_progress: dict[InquiryId, Inquiry] = {}
        # The callers' request ids of the inquiries in progress.
        self.open_ids: set[str] = set()
        self.next_id = 0
        # The time by which everything must be answered, by the node's clock; None unless the node ends.
        self.answer_by_us: int | None = None
        self.balancer: Balancer | None = None
        # The names of request classes that must not be executed twice, and of those for which a repeat has to
        # be recognized.
        self.not_idempotent_classes: dict[str, None] = {}
        self.repeat_sensitive_classes: dict[str, None] = {}
        # The requests of the latter that may have run, and what tells other processes of the node of one.
        self.recent = RecentRequests()
        self.notify_started: Callable[[str], None] = lambda digest: None

    def answer_all_by(self, answer_by_us: int) -> None:
        """Have every inquiry answered by this time of the node's clock, even if its deadline is later.

        The node ends, and callers whose deadline is later than the time allowed for that would otherwise
        still wait when the process is killed.
        """
        self.answer_by_us = answer_by_us
        answer_by = self.servers.loop.time() + (answer_by_us - self.servers.clock()) / 1e6
        for inquiry in self.in_progress.values():
            if inquiry.body_stream is not None:
                inquiry.body_stream.answer_at_latest = answer_by
            expires_at = None if inquiry.timeout is None else inquiry.timeout.when()
            # While a body is being forwarded the timeout has no time yet; an expired one can't be moved.
            if (
                inquiry.timeout is not None
                and expires_at is not None
                and expires_at > answer_by
                and not inquiry.timeout.expired()
            ):
                with contextlib.suppress(RuntimeError):
                    inquiry.timeout.reschedule(answer_by)

    async def handle_inquiry(
        self, call: CallerRequest, time_left_us: int, unread_us: int, is_connected: Callable[[], bool]
    ) -> Answer:
        """Return the final answer of one inquiry. The task is cancelled when the client disconnects.

        `unread_us` is how long the request was unread on this node. The balancer is not informed of it: it
        takes an inquiry with less time left than usual for a retry, and would reject all of them after each
        short stall of the node.
        """
        balancer = self.balancer
        assert balancer is not None
        if call.request_id in self.open_ids or self._has_run(call):
            # Servers would take this request for a copy of the one in progress, or run it twice.
            return failure(409)
        loop = asyncio.get_running_loop()
        inquiry_id = self.next_id
        self.next_id += 1
        inquiry = Inquiry(inquiry_id, call.request_id, is_connected, loop, call.body_stream)
        self.in_progress[inquiry_id] = inquiry
        self.open_ids.add(call.request_id)
        try:
            # The balancer answers before the deadline. The timeout guards against a balancer that does not,
            # or that does so too late since much of the time passed unread, and against the node's end.
            wait_us = time_left_us - unread_us
            if call.body_stream is not None:
                call.body_stream.time_left = time_left_us / 1e6
            if self.answer_by_us is not None:
                wait_us = min(wait_us, self.answer_by_us - self.servers.clock())
                if call.body_stream is not None:
                    call.body_stream.answer_at_latest = loop.time() + wait_us / 1e6
            inquiry.deadline_us = self.servers.clock() + wait_us
            inquiry.deadline_at = loop.time() + wait_us / 1e6
            async with asyncio.timeout(wait_us / 1e6) as timeout:
                inquiry.timeout = timeout
                balancer.inquiry_arrived(
                    inquiry_id, call.request_class, call.tenant, time_left_us, call.is_retry
                )
                while True:
                    choice = await inquiry.choice
                    if isinstance(choice, Answer):
                        if log.isEnabledFor(logging.DEBUG):
                            pairs = {"request": call.request_id, "status": choice.status}
                            log.debug("answered by decision", extra={"pairs": pairs})
                        return choice
                    inquiry.server = choice.server
                    if inquiry.cancel_requested:
                        end = AttemptEnd(Outcome.NOT_STARTED, 0)
                    else:
                        inquiry.attempt_started = False
                        inquiry.attempt_task = loop.create_task(
                            self._attempt(inquiry, call, choice, wait_us, timeout)
                        )
                        # Shielded: the attempt outlives its inquiry if the settings do not allow cancelling.
                        end = await asyncio.shield(inquiry.attempt_task)
                    inquiry.attempt_task = None
                    inquiry.choice = loop.create_future()
                    if call.body_stream is not None and end.outcome is not Outcome.SERVED:
                        if call.body_stream.caller_error is not None:
                            # The caller's error says nothing about the server.
                            self._report_attempt_end(inquiry, end, is_final=True)
                            return Answer(call.body_stream.caller_error.status)
                        if call.body_stream.is_started or call.body_stream.forward_by() <= loop.time():
                            # No further attempt can send the complete body, or not in time.
                            balancer.body_not_replayable(inquiry_id)
                    if inquiry.client_left:
                        # Detected when the attempt was about to start; nobody receives this answer.
                        self._report_attempt_end(inquiry, end, is_final=True)
                        return failure(499)
                    self._report_attempt_end(inquiry, end, is_final=end.outcome is Outcome.SERVED)
                    if end.outcome is Outcome.SERVED and end.answer is not None:
                        return end.answer
        except TimeoutError:
            log.warning(
                "patience over unanswered",
                extra={"pairs": {"inquiry": inquiry_id, "track": call.request_class}},
            )
            self._abandon(inquiry)
            return failure(504)
        except asyncio.CancelledError:
            self._abandon(inquiry)
            raise
        except Exception:
            # A bug must not affect other inquiries, and this one needs an answer.
            log.exception(
                "inquiry failed", extra={"pairs": {"inquiry": inquiry_id, "track": call.request_class}}
            )
            self._abandon(inquiry)
            return failure(500)
        finally:
            if inquiry.attempt_task is None:
                self._remove(inquiry)

    def _has_run(self, call: CallerRequest) -> bool:
        """Return whether a request with this id may have run and must not run again."""
        self.recent.forget_old(self.servers.clock())
        return bool(self.recent.forget_at) and digest_of(call.request_id) in self.recent

    async def _attempt(
        self, inquiry: Inquiry, call: CallerRequest, choice: Send, wait_us: int, timeout: asyncio.Timeout
    ) -> AttemptEnd:
        """Run one attempt. If its body is streamed, its time runs from the arrival of the last byte."""
        balancer = self.balancer
        assert balancer is not None

        def may_start() -> bool:
            is_permitted = balancer.may_start_attempt(inquiry.id) and inquiry.start_attempt()
            if is_permitted and call.request_class in self.repeat_sensitive_classes:
                digest = digest_of(call.request_id)
                self.recent.add(digest, self.servers.clock())
                self.notify_started(digest)
            return is_permitted

        if call.body_stream is None:

            def encode_message() -> bytes:
                """Encode the message right before its first byte: the wait for a connection takes time."""
                deadline_us = min(choice.chosen_at_us + choice.timeout_us, inquiry.deadline_us)
                return call.encode_attempt(deadline_us - self.servers.clock())

            return await self.servers.attempt(
                choice.server,
                encode_message,
                choice.timeout_us,
                not_idempotent=call.request_class in self.not_idempotent_classes,
                may_start=may_start,
                memory=call.memory,
                answer_by=lambda: inquiry.deadline_at - ANSWER_MARGIN,
            )
        body_stream, loop = call.body_stream, self.servers.loop
        balancer.body_stream_started(inquiry.id)
        timeout.reschedule(None)

        def encode_beginning() -> bytes:
            left_us = min(wait_us / 1e6, body_stream.answer_by() - loop.time()) * 1e6
            return call.encode_attempt(min(choice.timeout_us, int(left_us)))

        def restart_timeout() -> None:
            # The inquiry may be finished while its attempt is still running.
            with contextlib.suppress(RuntimeError):
                timeout.reschedule(min(loop.time() + wait_us / 1e6, body_stream.answer_by()))

        def handle_body_sent() -> None:
            restart_timeout()
            balancer.body_stream_ended(inquiry.id)

        try:
            return await self.servers.attempt(
                choice.server,
                encode_beginning,
                min(choice.timeout_us, wait_us),
                request=call,
                on_body_sent=handle_body_sent,
                not_idempotent=call.request_class in self.not_idempotent_classes,
                may_start=may_start,
                memory=call.memory,
                answer_by=lambda: body_stream.answer_by() - ANSWER_MARGIN,
            )
        finally:
            if timeout.when() is None:
                restart_timeout()

    def _report_attempt_end(self, inquiry: Inquiry, end: AttemptEnd, is_final: bool) -> None:
        assert self.balancer is not None
        number = inquiry.attempt_number
        inquiry.attempt_number += 1
        inquiry.cancel_requested = False
        inquiry.may_have_run = inquiry.may_have_run or not end.outcome.proved_not_run
        if not inquiry.may_have_run and self.recent.forget_at:
            self.recent.discard(digest_of(inquiry.request_id))
        if log.isEnabledFor(logging.DEBUG):
            pairs = {"request": inquiry.request_id, "attempt": number, "server": inquiry.server}
            pairs |= {"outcome": end.outcome.value, "took_ms": end.latency_us // 1000, "last": is_final}
            log.debug("attempt ended", extra={"pairs": pairs})
        self.balancer.attempt_ended(inquiry.id, number, end.outcome, end.latency_us, is_final, end.report)

    def _abandon(self, inquiry: Inquiry) -> None:
        """Report the client as disconnected, and later the end of an attempt that is still running.

        Used when it has disconnected, and when it was answered without the balancer.
        """
        assert self.balancer is not None
        inquiry.client_left = True
        self.balancer.client_disconnected(inquiry.id)
        choice = inquiry.choice
        if inquiry.attempt_task is not None:
            if not inquiry.attempt_may_have_run():
                # No server has all of it, so the attempt is stopped even if the settings forbid cancelling.
                inquiry.attempt_task.cancel()
            inquiry.attempt_task.add_done_callback(lambda task: self._late_attempt_ended(inquiry, task))
        elif choice.done() and not choice.cancelled() and isinstance(choice.result(), Send):
            # The attempt was chosen but never started.
            self._report_attempt_end(inquiry, AttemptEnd(Outcome.NOT_STARTED, 0), is_final=True)

    def _remove(self, inquiry: Inquiry) -> None:
        if self.in_progress.pop(inquiry.id, None) is not None:
            self.open_ids.discard(inquiry.request_id)

    def _late_attempt_ended(self, inquiry: Inquiry, task: asyncio.Task[AttemptEnd]) -> None:
        """Finish an inquiry whose attempt outlived it."""
        self._remove(inquiry)
        if not task.cancelled() and task.exception() is None:
            answer = task.result().answer
            if answer is not None and answer.body_stream is not None:
                answer.body_stream.close()
        # A bug in the attempt was logged with its inquiry; the attempt must still stop counting as in flight.
        failed = task.cancelled() or task.exception() is not None
        self._report_attempt_end(
            inquiry, AttemptEnd(Outcome.RESET, 0) if failed else task.result(), is_final=True
        )
