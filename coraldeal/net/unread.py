"""Checks for bytes and closes that the system has received on a socket and nobody has read yet.

The event loop reports bytes and closes with a delay, and does not read a connection whose data nobody takes.
Code that is about to close a connection, or to write on one that was idle, has to know what has arrived by
then, and a request's time counts from the arrival of its last byte, read or not.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios
from typing import Any

# struct tcp_info: tcpi_last_data_recv, the milliseconds since data was last received; tcpi_advmss, the
# largest segment that the other side sends; tcpi_rcv_wnd, the window that it was last offered (Linux 6.2).
_LAST_DATA_RECV = slice(52, 56)
_ADVMSS = slice(84, 88)
_RCV_WND = slice(232, 236)
# Bytes of the buffer that all skipped bytes are copied to when the end of a receive queue is looked at.
_SKIP_BUFFER_BYTES = 64 * 1024


def has_unread(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether bytes, a close or a reset have arrived on the connection and were not read yet."""
    return bool(_poll_transport(transport, select.POLLIN | select.POLLRDHUP))


def has_disconnected(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the other side has closed the connection, even if unread bytes precede its close."""
    return transport is None or transport.is_closing() or bool(_poll_transport(transport, select.POLLRDHUP))


def is_readable(sock: Any) -> bool:
    """Return whether bytes or a close wait at a socket or, if it listens, a connection in its backlog."""
    return bool(_poll_socket(sock, select.POLLIN))


def seconds_since_last_byte(transport: asyncio.BaseTransport | None) -> float:
    """Return for how long no byte has arrived on a connection; 0 where the system does not tell."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0 or not hasattr(socket, "TCP_INFO"):
        return 0.0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_RECV.stop)
    return int.from_bytes(info[_LAST_DATA_RECV], sys.byteorder) / 1000


def is_window_closed(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the other side of a connection can't send further bytes until unread ones are read.

    It then may have written more than has arrived. False where the system does not tell.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0 or not hasattr(socket, "TCP_INFO"):
        return False
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _RCV_WND.stop)
    if len(info) < _RCV_WND.stop:
        return False
    window = int.from_bytes(info[_RCV_WND], sys.byteorder)
    # A sender waits until the window has room for half of a segment.
    return window <= int.from_bytes(info[_ADVMSS], sys.byteorder) // 2


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return how many bytes have arrived on a connection and were not read; 0 where that can't be told."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)))[0])
    except OSError:
        return 0


def last_unread_bytes(transport: asyncio.BaseTransport | None, size: int) -> bytes:
    """Return the last `size` bytes that have arrived on a connection and were not read, without reading them.

    Returns fewer if fewer have arrived, and none where the system does not tell.
    """
    unread = unread_bytes(transport)
    if transport is None or not unread:
        return b""
    skipped = max(0, unread - size)
    skip_buffer = memoryview(bytearray(min(skipped, _SKIP_BUFFER_BYTES)))
    last = bytearray(unread - skipped)
    buffers: list[Any] = [skip_buffer] * (skipped // _SKIP_BUFFER_BYTES)
    buffers += [skip_buffer[: skipped % _SKIP_BUFFER_BYTES], last]
    # The event loop's own object for the socket offers no reads.
    sock = socket.socket(fileno=transport.get_extra_info("socket").fileno())
    try:
        received = sock.recvmsg_into(buffers, 0, socket.MSG_PEEK | socket.MSG_DONTWAIT)[0]
    except OSError:
        return b""
    finally:
        sock.detach()
    return bytes(last) if received == unread else b""


def _poll_transport(transport: asyncio.BaseTransport | None, events: int) -> int:
    return 0 if transport is None else _poll_socket(transport.get_extra_info("socket"), events)


def _poll_socket(sock: Any, events: int) -> int:
    """Return the pending ones of the events; the system always adds errors and resets."""
    if sock is None or sock.fileno() < 0:
        return 0
    poller = select.poll()
    poller.register(sock.fileno(), events)
    return next((pending for _, pending in poller.poll(0)), 0)
