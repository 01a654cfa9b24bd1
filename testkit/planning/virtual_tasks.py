"""Coroutines of simulated processes that run, freeze and end in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Generator

    from .clock import VirtualClock


class Future:
    """A result that one coroutine waits for; only the first one counts."""

    def __init__(self, process: VirtualProcess) -> None:
        self._process = process
        self._is_done = False
        self._result: Any = None
        self.on_done: Callable[[], None] | None = None

    def set(self, result: Any = None) -> None:
        """Set the result, and resume the coroutine that waits for it."""
        if self._is_done:
            return
        self._is_done = True
        self._result = result
        if self.on_done is not None:
            self._process.call_soon(self.on_done)

    def __await__(self) -> Generator[Future, None, Any]:
        """Return the result."""
        if not self._is_done:
            yield self
        return self._result


class Task:
    """A running coroutine."""

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._coroutine = coroutine
        self.is_over = False
        self.step()

    def step(self) -> None:
        """Run the coroutine up to its next wait."""
        if self.is_over:
            return
        try:
            future = self._coroutine.send(None)
        except StopIteration:
            self.is_over = True
            return
        future.on_done = self.step

    def cancel(self) -> None:
        """End the coroutine where it waits."""
        if not self.is_over:
            self.is_over = True
            self._coroutine.close()


class VirtualProcess:
    """A process whose callbacks do not run while it is frozen, or once it has ended.

    :ivar is_alive: whether the process has not ended
    """

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._uncounted_s = 0.0
        self._frozen_at: float | None = None
        self._is_suspended = False
        self._postponed: list[Callable[[], None]] = []
        self.is_alive = True

    @property
    def now(self) -> float:
        """Time of the clock by which the process decides; it counts suspensions."""
        return self._clock.now

    @property
    def _timer_now(self) -> float:
        return self._clock.now - self._uncounted_s

    @property
    def is_frozen(self) -> bool:
        """Whether the process does not run at present."""
        return self._frozen_at is not None

    def freeze(self, is_suspended: bool) -> None:
        """Stop running.

        :param is_suspended: whether timers do not count this time
        """
        if self._frozen_at is None:
            self._frozen_at = self._clock.now
            self._is_suspended = is_suspended

    def thaw(self) -> None:
        """Run again, beginning with the callbacks that were due meanwhile."""
        if self._frozen_at is None:
            return
        if self._is_suspended:
            self._uncounted_s += self._clock.now - self._frozen_at
        self._frozen_at = None
        postponed, self._postponed = self._postponed, []
        for callback in postponed:
            callback()

    def end(self) -> None:
        """End the process."""
        self.is_alive = False
        self._postponed.clear()

    def call(self, callback: Callable[[], None]) -> None:
        """Run a callback, once the process is not frozen."""
        if self._frozen_at is not None:
            self._postponed.append(lambda: self.call(callback))
        elif self.is_alive:
            callback()

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run a callback after the current one."""
        self._clock.after(0.0, lambda: self.call(callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay, without the time of suspensions."""
        due = self._timer_now + delay_s

        def run() -> None:
            early_s = due - self._timer_now
            if early_s > 1e-9:
                self._clock.after(early_s, lambda: self.call(run))
            else:
                callback()

        self._clock.after(delay_s, lambda: self.call(run))

    async def sleep(self, seconds: float) -> None:
        """Wait, without counting suspensions."""
        future = Future(self)
        self.after(seconds, future.set)
        await future

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> Task:
        """Run a coroutine."""
        return Task(coroutine)
