"""Steps on searches that end the targets that run them."""

from behave import given, then, when
from behave.runner import Context

from tests.support.world import until


@given('each target ends when it runs a search for "{text}", and is back later')
def end_when_run(context: Context, text: str) -> None:
    """Let a search end every target that runs it."""
    for target in context.world.targets.values():
        target.script = target.script._replace(ending_text=text)


@when('a search for "{text}" is sent {count:d} times, to the instances in turn')
def search_in_turn(context: Context, text: str, count: int) -> None:
    """Send a search again and again, each time when all targets are back."""
    world = context.world
    names = tuple(world.applications)
    body = {'service': 'reservas', 'text': text, 'deadline_seconds': 1.0}

    async def send_all() -> None:
        for number in range(count):
            name = names[number % len(names)]
            await world.send_request('POST', '/v1/search', body, name)
            await _wait_for_return(context)

    context.loop.run_until_complete(send_all())


@then('at most {count:d} targets of the service ended')
def expect_few_ends(context: Context, count: int) -> None:
    """Check how often targets ended."""
    ended = [target.end_count for target in context.world.targets.values()]
    assert sum(ended) <= count, ended


async def _wait_for_return(context: Context) -> None:
    targets = context.world.targets.values()
    await until(lambda: not any(target.is_away for target in targets))
