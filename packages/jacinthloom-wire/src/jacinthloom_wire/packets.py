"""Bytes of packets and log batches."""

from __future__ import annotations

from typing import Any

import msgpack
from jacinthloom_core.model.messages import Packet
from jacinthloom_core.model.records import Batch
from jacinthloom_core.shared_log import codec

MAX_PACKET_BYTES = 8 * 1024 * 1024
"""Largest packet that a stream accepts."""


def encode_packet(packet: Packet) -> bytes:
    """Encode a packet for a peer stream."""
    return codec.encode(packet, Packet)


def structure_packet(plain: Any) -> Packet:
    """Build a packet from an unpacked msgpack object.

    :raises CodecError: if it has another shape
    """
    return codec.structure(plain, Packet)


def make_unpacker() -> Any:
    """Return a streaming unpacker for packets."""
    return msgpack.Unpacker(max_buffer_size=MAX_PACKET_BYTES, strict_map_key=False)


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch for the log."""
    return codec.encode(batch, Batch)


def decode_batch(data: bytes) -> Batch:
    """Decode a batch from the log.

    :raises CodecError: if the bytes hold no batch
    """
    return codec.decode(data, Batch)
