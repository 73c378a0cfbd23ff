"""Steps on the targets that are assumed to serve."""

from behave import given, then, when
from behave.runner import Context

from celeryturn.decisions.targets import directory
from celeryturn.decisions.targets.replicas import TargetEntry
from tests.support.entries import make_entry

START_SECONDS = 1000.0


@given('the entries "{names}"')
def given_entries(context: Context, names: str) -> None:
    """List targets."""
    context.store_seconds = START_SECONDS
    context.directory = directory.Directory()
    for name in names.split():
        _put(context, make_entry(name, sequence=5))


@when('"{name}" is listed as draining')
def list_draining(context: Context, name: str) -> None:
    """Apply an entry that marks the target as draining."""
    _put(context, make_entry(name, is_draining=True, sequence=6))


@when('"{name}" is listed again')
def list_again(context: Context, name: str) -> None:
    """Apply a newer entry."""
    _put(context, make_entry(name, sequence=7))


@when('an outdated entry of "{name}" arrives late')
def list_outdated(context: Context, name: str) -> None:
    """Apply an entry with an older sequence number."""
    _put(context, make_entry(name, sequence=4))


@when('the entries "{names}" go missing')
def remove_entries(context: Context, names: str) -> None:
    """Remove entries together."""
    directory.apply_missing(
        context.directory, names.split(), context.store_seconds
    )


@when('the store recovers')
def recover_store(context: Context) -> None:
    """Let the store respond after an outage."""
    directory.record_store_recovery(context.directory, context.store_seconds)


@when('a complete list is read with "{names}"')
def read_list(context: Context, names: str) -> None:
    """Apply a complete list."""
    entries = {name: make_entry(name, sequence=5) for name in names.split()}
    directory.apply_list(context.directory, entries, context.store_seconds)


@when('{seconds:g} seconds pass at the store')
def pass_at_store(context: Context, seconds: float) -> None:
    """Let time pass."""
    context.store_seconds += seconds
    directory.drop_expired(context.directory, context.store_seconds)


@when('"{name}" was slow and restarts')
def restart_target(context: Context, name: str) -> None:
    """Start another incarnation under the same identifier."""
    known = directory.find_replica(context.directory, name)
    assert known is not None
    known.slowness = 9.0
    known.pending[1] = START_SECONDS
    _put(context, make_entry(name, born_ms=2, sequence=1))


@then('no observation is kept of "{name}"')
def expect_no_observations(context: Context, name: str) -> None:
    """Check that a target has no observations."""
    known = directory.find_replica(context.directory, name)
    assert known is not None
    assert known.slowness == 1, known.slowness
    assert not known.pending


@then('"{names}" serves')
def expect_serving(context: Context, names: str) -> None:
    """Check that exactly these targets serve."""
    found = directory.serving_replicas(context.directory, 's')
    assert {replica.entry.target for replica in found} == set(names.split())


@then('nothing serves')
def expect_nothing(context: Context) -> None:
    """Check that no target serves."""
    assert not directory.serving_replicas(context.directory, 's')


def _put(context: Context, entry: TargetEntry) -> None:
    directory.apply_entry(context.directory, entry, context.store_seconds)
