"""Steps on requests that end the targets that run them."""

from behave import given, then, when
from behave.runner import Context

from tests.support.ending import EndingTargets
from tests.support.routed import caller_request, get_world, run


@given('each target ends when it runs "{url}", and is back later')
def end_when_run(context: Context, url: str) -> None:
    """Let a request end every target that runs it."""
    world = get_world(context)
    context.ending = EndingTargets(world)
    for target in world.targets.values():
        target.ending_urls = frozenset((url,))


@when('"{url}" is requested {count:d} times, at the instances in turn')
def request_in_turn(context: Context, url: str, count: int) -> None:
    """Send a request again and again, each time when all targets are back."""
    world = get_world(context)

    async def send_all() -> None:
        context.replies = []
        for number in range(count):
            instance = number % len(world.applications)
            request = caller_request(url, number)
            reply = await world.send_request(request, instance)
            context.replies.append(reply)
            await context.ending.wait_for_return()

    run(context, send_all())


@then('at most {count:d} targets ended')
def expect_few_ends(context: Context, count: int) -> None:
    """Check how many targets ended, those that are back included."""
    ended = context.ending.ended
    assert len(ended) <= count, ended
