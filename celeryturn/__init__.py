"""A query tier over many shards that reports partial failures explicitly."""

from celeryturn.errors import ANSWERS, Answer, CeleryturnError, Fault, Kind, Run

__all__ = ('ANSWERS', 'Answer', 'CeleryturnError', 'Fault', 'Kind', 'Run')
