"""What can go wrong between members, log and workers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Faults:
    """Rates and bounds of random faults.

    :param loss: part of the messages that are lost
    :param duplication: part of the messages that come twice
    :param delay_s: longest delay of a message
    :param reply_loss: part of the appends whose reply is lost
    :param drift: largest relative error of a clock
    :param skew_s: largest difference of a wall clock from the true time
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_s: float = 0.01
    reply_loss: float = 0.0
    drift: float = 0.0
    skew_s: float = 0.0

    @classmethod
    def make_severe(cls) -> Faults:
        """Return a world in which everything goes wrong now and then."""
        return cls(0.05, 0.05, 0.3, 0.1, 0.02, 0.05)
