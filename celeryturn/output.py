"""A log stream that never blocks and holds a bounded amount."""

import os
from collections import deque
from typing import Final

MOST_HELD_BYTES: Final = 1_000_000


class LogStream:
    """Writes lines to a descriptor; what it does not take is held back.

    :param held_bytes: What the reader has not taken yet.
    :param dropped_count: Lines given up because too much was held back.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._held: deque[bytes] = deque()
        self.held_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, encoded: bytes) -> None:
        """Hold bytes and write as much as the reader takes.

        :param encoded: Usually one line.
        """
        if self.held_bytes + len(encoded) > MOST_HELD_BYTES:
            self.dropped_count += 1
        else:
            self._held.append(encoded)
            self.held_bytes += len(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        is_taken = True
        while self._held and is_taken:
            is_taken = self._write_first()

    def _write_first(self) -> bool:
        first = self._held.popleft()
        try:
            written_count = os.write(self._descriptor, first)
        except BlockingIOError:
            self._held.appendleft(first)
            return False
        except OSError:
            # Nobody reads any more, and nobody can be told.
            self.held_bytes -= len(first)
            self.dropped_count += 1
            return False
        self.held_bytes -= written_count
        if written_count < len(first):
            self._held.appendleft(first[written_count:])
        return True
