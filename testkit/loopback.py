"""Loopback addresses that only one test or demo of this machine uses at a time."""

from __future__ import annotations

import atexit
import random
import socket

RESERVATION_PORT = 47_999
"""Port that is bound, but not listened on, at each reserved address."""

MAX_ATTEMPTS = 100


def reserve_loopback_ip() -> str:
    """Reserve an address in 127.0.0.0/8 until this process ends.

    Processes that are started by a test listen at fixed ports of their own address, so
    no port has to be found free and released again before they bind it.

    :raises OSError: if no address can be reserved
    """
    generator = random.SystemRandom()
    for _ in range(MAX_ATTEMPTS):
        ip = "127." + ".".join(str(generator.randint(1, 254)) for _ in range(3))
        reservation = socket.socket()
        try:
            reservation.bind((ip, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        atexit.register(reservation.close)
        return ip
    raise OSError(f"no loopback address could be reserved in {MAX_ATTEMPTS} attempts")
