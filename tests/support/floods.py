"""Replies of faulty targets that do not end."""

import itertools
from types import MappingProxyType
from typing import Final, NamedTuple

WRITE_BYTES: Final = 65_536
STALLED_BYTES: Final = 60_000


class Flood(NamedTuple):
    """A reply that has no end.

    :param first: What is sent first.
    :param repeated: What is sent after it until the connection is closed;
        empty if the target stops in the middle and stays connected.
    """

    first: bytes
    repeated: bytes


def _lines(*lines: str) -> bytes:
    return '\r\n'.join((*lines, '')).encode()


def _head(*lines: str) -> bytes:
    stamp = 'x-response-stamp: flood'
    return _lines('HTTP/1.1 200 OK', stamp, *lines, '')


def _repeat(piece: bytes) -> bytes:
    return piece * (WRITE_BYTES // len(piece))


_FILLER: Final = _repeat(b'0123456789abcdef')
_CHUNKED: Final = _head('transfer-encoding: chunked')
_OTHER_REPLY: Final = _lines(
    'HTTP/1.1 200 OK', 'content-length: 4096', 'x-attempt-id: other', ''
) + bytes(4096)

FLOODS: Final = MappingProxyType(
    {
        'bytes that are no reply': Flood(b'', _repeat(b'\x00')),
        'a status line': Flood(b'HTTP/1.1 200 ', _FILLER),
        'a header': Flood(b'HTTP/1.1 200 OK\r\nx: ', _FILLER),
        'headers': Flood(b'HTTP/1.1 200 OK\r\n', _repeat(b'x: yyyy\r\n')),
        'interim replies': Flood(
            b'', _repeat(b'HTTP/1.1 102 Processing\r\n\r\n')
        ),
        'replies to others': Flood(b'', _repeat(_OTHER_REPLY)),
        'a body': Flood(_head(), _FILLER),
        'a body with a length': Flood(
            _head('content-length: 1000000000000'), _FILLER
        ),
        'more after a whole reply': Flood(
            _head('content-length: 16') + bytes(16), _FILLER
        ),
        'large chunks': Flood(
            _CHUNKED, b'%x\r\n%b\r\n' % (len(_FILLER), _FILLER)
        ),
        'chunks of one byte': Flood(_CHUNKED, _repeat(b'1\r\nx\r\n')),
        'a chunk size': Flood(b'%b1;x=' % _CHUNKED, _FILLER),
        'trailers': Flood(b'%b0\r\n' % _CHUNKED, _repeat(b'x: yyyy\r\n')),
        'a body that stalls': Flood(
            _head('content-length: 65536') + bytes(STALLED_BYTES), b''
        ),
        'many headers and stall': Flood(
            _head('content-length: 16', *itertools.repeat('x: y', 900)), b''
        ),
    }
)
