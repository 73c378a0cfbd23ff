"""The rule CONFIG on time limits, as it is written."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from review.support.clients import Answered

SLACK_SECONDS: Final = 0.5
# The rule names eight in its second form.
MIN_LATE_COUNT: Final = 8


class Verdict(NamedTuple):
    """What the rule says of some requests.

    :param sent_count: Requests that were sent.
    :param unanswered_count: Requests without an answer at the time limit.
    :param late_count: Those of them without one half a second later.
    """

    sent_count: int
    unanswered_count: int
    late_count: int

    @property
    def has_held(self) -> bool:
        """Whether the rule held, in both of its forms."""
        is_few = self.late_count < MIN_LATE_COUNT
        return is_few or self.late_count * 2 <= self.unanswered_count


def judge(answers: Sequence[Answered], limit_seconds: float) -> Verdict:
    """Judge requests of one route at one machine.

    :param answers: What the clients saw.
    :param limit_seconds: Time limit of the route.
    :returns: The verdict.
    """
    late_seconds = limit_seconds + SLACK_SECONDS
    return Verdict(
        len(answers),
        sum(answered.took_seconds > limit_seconds for answered in answers),
        sum(answered.took_seconds > late_seconds for answered in answers),
    )
