"""A log stream that never blocks and has a bounded buffer."""

import os
from collections import deque
from typing import Final

MAX_BUFFERED_BYTES: Final = 1_000_000


class LogStream:
    """Writes lines to a file descriptor and buffers what it cannot write.

    :param buffered_bytes: Bytes that have not been written yet.
    :param dropped_count: Lines dropped because the buffer was full or the
        write failed.
    """

    def __init__(self, descriptor: int) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self.buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, encoded: bytes) -> None:
        """Buffer bytes, then write as much as the reader accepts.

        :param encoded: Encoded text, typically one line.
        """
        if self.buffered_bytes + len(encoded) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
        else:
            self._buffer.append(encoded)
            self.buffered_bytes += len(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        can_write = True
        while self._buffer and can_write:
            can_write = self._write_first()

    def _write_first(self) -> bool:
        chunk = self._buffer.popleft()
        try:
            written_count = os.write(self._descriptor, chunk)
        except BlockingIOError:
            self._buffer.appendleft(chunk)
            return False
        except OSError:
            # The reader is gone, so the failure cannot be reported either.
            self.buffered_bytes -= len(chunk)
            self.dropped_count += 1
            return False
        self.buffered_bytes -= written_count
        if written_count < len(chunk):
            self._buffer.appendleft(chunk[written_count:])
        return True
