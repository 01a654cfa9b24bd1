"""Settings that the deployment passes to each process as environment variables."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..platform.errors import SettingsError

if TYPE_CHECKING:
    from collections.abc import Mapping

PAST_USE_VARIABLE = "JACINTHLOOM_PAST_USE_HALF_LIFE_S"
"""Environment variable with the half-life of past usage, in seconds."""

MIN_HALF_LIFE_S = 60.0
"""Minimum half-life: shorter ones would lose more than half of it in each failover, as
it is stored once a minute."""


def read_past_use_half_life_s(environment: Mapping[str, str]) -> float:
    """Return the half-life of past usage in seconds; 0 if it is disabled or not set.

    :raises SettingsError: if the value is neither 0 nor a number of at least
        ``MIN_HALF_LIFE_S``
    """
    text = environment.get(PAST_USE_VARIABLE, "0")
    try:
        half_life_s = float(text)
    except ValueError as error:
        raise SettingsError(f"{PAST_USE_VARIABLE}: {text!r} is not a number") from error
    is_in_range = math.isfinite(half_life_s) and half_life_s >= MIN_HALF_LIFE_S
    if half_life_s != 0 and not is_in_range:
        raise SettingsError(
            f"{PAST_USE_VARIABLE}: {text!r} is neither 0 nor at least"
            f" {MIN_HALF_LIFE_S:.0f} seconds"
        )
    return half_life_s
