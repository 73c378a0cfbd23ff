"""How often an instance observes each target itself.

The load that sharing answers: many instances, each of which sends a target less
than a few requests a second.  An instance that observes its targets more often
finds out by itself as soon as its peers would tell it.
"""

from typing import Final

WINDOW_SECONDS: Final = 2.0
# Peers tell of a target within about this time of the first failure.
TELL_SECONDS: Final = 0.5
# Each instance without reports learns of a target once, with reports only the
# first three do.  In a smaller fleet that saves less than the reports cost.
MIN_INSTANCES: Final = 24
# An instance that was sparse remains so up to this multiple of the rate.
HOLD_FACTOR: Final = 1.5


class ObservationRate:
    """Rate of the replies that an instance observes.

    :param reply_count: Replies in the present window.
    :param window_start_seconds: Start of the window.
    :param is_sparse: Whether the last window with replies had few of each
        target.  An instance that starts has not observed any.
    """

    __slots__ = ('is_sparse', 'reply_count', 'window_start_seconds')

    def __init__(self, now_seconds: float) -> None:
        self.reply_count = 0
        self.window_start_seconds = now_seconds
        self.is_sparse = True


def may_share(rate: ObservationRate, instance_count: int) -> bool:
    """Return whether an instance exchanges observations with its peers.

    :param rate: Rate of the instance.
    :param instance_count: Number of live instances.
    :returns: Whether it observes little itself, and there are enough instances
        for reports to save more than they cost.
    """
    return rate.is_sparse and instance_count >= MIN_INSTANCES


def update(
    rate: ObservationRate, target_count: int, now_seconds: float
) -> None:
    """Assess the window if it has ended, and begin the next one.

    :param rate: Rate of an instance.
    :param target_count: Number of targets that it uses.
    :param now_seconds: Current time.
    """
    elapsed_seconds = now_seconds - rate.window_start_seconds
    if elapsed_seconds < WINDOW_SECONDS:
        return
    per_target = rate.reply_count / elapsed_seconds / max(1, target_count)
    factor = HOLD_FACTOR if rate.is_sparse else 1
    if rate.reply_count:
        rate.is_sparse = per_target < factor / TELL_SECONDS
    rate.reply_count = 0
    rate.window_start_seconds = now_seconds
