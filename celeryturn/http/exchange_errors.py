"""Errors of an exchange with a server."""


class ExchangeError(ConnectionError):
    """The connection ended or violated HTTP before a complete reply."""


class BrokenOffError(ExchangeError):
    """The connection ended before a complete reply."""


class ReplyTooLargeError(ExchangeError):
    """The reply is larger than any that is received."""
