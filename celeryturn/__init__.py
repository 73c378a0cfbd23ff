"""A query tier over many shards that stays honest when things fail."""

from celeryturn.errors import ANSWERS, Answer, CeleryturnError, Fault, Kind, Run

__all__ = ('ANSWERS', 'Answer', 'CeleryturnError', 'Fault', 'Kind', 'Run')
