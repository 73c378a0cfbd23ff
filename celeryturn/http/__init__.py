"""HTTP/1.1 client and server over asyncio, based on ``h11``."""

from celeryturn.http.client import Connection, fetch
from celeryturn.http.messages import HttpReply, HttpRequest, json_reply
from celeryturn.http.server import HttpServer

__all__ = (
    'Connection',
    'HttpReply',
    'HttpRequest',
    'HttpServer',
    'fetch',
    'json_reply',
)
