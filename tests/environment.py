"""Hooks that behave runs around features and scenarios."""

import asyncio
import io

from behave.model import Feature, Scenario
from behave.runner import Context

from celeryturn.clients.account import CLIENT_ACCOUNT
from celeryturn.events import log_to
from examples.fleet import start_fleet, stop_fleet, wait_until_ready
from tests.support.world import World

ADVICE_KEEP_SECONDS = 2.0


def before_all(context: Context) -> None:
    """Write log events to a buffer, so that logging runs without output."""
    context.log = io.StringIO()
    log_to(context.log)


def before_feature(context: Context, feature: Feature) -> None:
    """Start real processes for the features with the tag ``fleet``."""
    if 'fleet' in feature.tags:
        context.fleet = start_fleet('consorcio', ADVICE_KEEP_SECONDS)
        context.advice_keep_seconds = ADVICE_KEEP_SECONDS
        wait_until_ready(context.fleet)


def after_feature(context: Context, feature: Feature) -> None:
    """Stop the processes."""
    if 'fleet' in feature.tags:
        stop_fleet(context.fleet)


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create an event loop and a world for the scenario."""
    context.log.truncate(0)
    context.log.seek(0)
    context.loop = asyncio.new_event_loop()
    context.world = World()
    # Servers that steps start beside those of the worlds.
    context.servers = []


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close what the scenario opened; what remains is a failure."""
    limited = getattr(context, 'limited', None)
    if limited is not None:
        # Its connections end before the event loop is closed.
        limited.end()
    routed = getattr(context, 'routed', None)
    if routed is not None:
        context.loop.run_until_complete(routed.close())
    for server in context.servers:
        server.close()
    # Closed last, because it waits until no other task is left.
    context.loop.run_until_complete(context.world.close())
    left = asyncio.all_tasks(context.loop)
    context.loop.close()
    assert not left, f'tasks remain after the scenario: {left}'
    held = (CLIENT_ACCOUNT.connection_count, CLIENT_ACCOUNT.used_bytes)
    assert held == (0, 0), f'connections and bytes remain charged: {held}'
