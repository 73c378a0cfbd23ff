"""HTTP/1.1 over asyncio, spoken by ``h11`` on both sides."""

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
