"""The clock by which requests and beliefs are timed."""

import time


def boottime_seconds() -> float:
    """Read a clock that counts suspended time and never steps.

    The loop's own clock stands still while a machine is suspended, so that
    an old belief or deadline would look young after it.

    :returns: Seconds since an arbitrary point.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
