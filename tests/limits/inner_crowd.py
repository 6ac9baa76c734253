"""Test helper: payloads of a client of the inner protocol that does not behave."""

import os
import struct

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.settings import SettingCodes

__all__ = [
    "endless_headers",
    "incomplete_messages",
    "open_streams",
    "opened_and_reset",
    "pings",
    "settings",
]

SYNC_PATH = "/wasabideck.Peers/Sync"


def _client():
    conn = H2Connection(H2Configuration(client_side=True, header_encoding="ascii"))
    conn.initiate_connection()
    return conn


def _acknowledgements():
    """Return acknowledgements of the settings that a server sends at first."""
    return _frame(4, 1, 0, b"") * 3


def _preface():
    return _client().data_to_send() + _acknowledgements()


def _headers(path=SYNC_PATH, pad=b""):
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "x"),
        ("te", "trailers"),
        ("content-type", "application/grpc"),
    ]
    return headers + ([("x-pad", pad.hex())] if pad else [])


def open_streams(count, pad_bytes):
    """Return requests that open streams and send no message."""
    conn = _client()
    frames = conn.data_to_send() + _acknowledgements()
    for _ in range(count):
        stream = conn.get_next_available_stream_id()
        conn.send_headers(stream, _headers(pad=os.urandom(pad_bytes)))
    return frames + conn.data_to_send()


def opened_and_reset(count):
    """Return requests that are cancelled at once."""
    conn = _client()
    for _ in range(count):
        stream = conn.get_next_available_stream_id()
        conn.send_headers(stream, _headers())
        conn.reset_stream(stream)
    return conn.data_to_send()


def incomplete_messages(count, size):
    """Return requests whose messages are announced as longer than what is sent."""
    conn = _client()
    data = struct.pack("!?I", False, 8 << 20) + b"x" * size
    frames = conn.data_to_send() + _acknowledgements()
    for _ in range(count):
        stream = conn.get_next_available_stream_id()
        conn.send_headers(stream, _headers())
        frames += conn.data_to_send()
        # The windows of the server are not known here, so frames are made by hand.
        for start in range(0, len(data), 16384):
            frames += _frame(0, 0, stream, data[start : start + 16384])
    return frames


def pings(count):
    """Return questions whose answers are not read."""
    return _preface() + _frame(6, 0, 0, b"12345678") * count


def settings(count):
    """Return settings whose acknowledgements are not read."""
    value = struct.pack("!HI", SettingCodes.MAX_FRAME_SIZE, 16384)
    return _preface() + _frame(4, 0, 0, value) * count


def endless_headers(frames, size):
    """Return a head that goes on in continuation frames and does not end."""
    data = _preface() + _frame(1, 0, 1, b"\x00" * size)
    return data + _frame(9, 0, 1, b"\x00" * size) * frames


def _frame(kind, flags, stream, payload):
    size = struct.pack("!I", len(payload))[1:]
    return size + struct.pack("!BBI", kind, flags, stream) + payload
