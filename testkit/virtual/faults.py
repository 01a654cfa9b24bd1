"""Rates of the random faults between members, log and workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Faults:
    """Rates and bounds of random faults.

    :param loss: fraction of the messages that are lost
    :param duplication: fraction of the packets that are delivered twice
    :param delay_s: maximum delay of a message, in seconds
    :param reply_loss: fraction of the appends whose response is lost
    :param drift: maximum relative error of a clock rate
    :param skew_s: maximum offset of a wall clock from the simulated time, in seconds
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.01
    reply_loss: float = 0.0
    drift: float = 0.0
    skew_s: float = 0.0

    @classmethod
    def make_severe(cls) -> Faults:
        """Return rates at which every kind of fault occurs."""
        return cls(0.05, 0.05, 0.3, 0.1, 0.02, 0.05)
