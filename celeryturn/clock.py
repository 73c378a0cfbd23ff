"""The clock that is used to time requests and the age of known state."""

import time


def boottime_seconds() -> float:
    """Read a clock that includes suspended time and is never adjusted.

    The clock of the event loop is paused while the machine is suspended, so
    stale state and old deadlines would appear recent afterwards.

    :returns: Seconds since an arbitrary point.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
