"""Steps for the search of the protocol models."""

from behave import then, when
from behave.runner import Context

from models import check


@when('the model "{name}" is searched')
def search_model(context: Context, name: str) -> None:
    """Explore the states of a model."""
    context.finding = check.search(name, check.MODELS[name])


@when('the mutant "{name}" is searched')
def search_mutant(context: Context, name: str) -> None:
    """Explore the states of a mutant of a model."""
    context.finding = check.search_mutant(name)


@then('the search is complete')
def expect_complete(context: Context) -> None:
    """Check that every reachable state was explored."""
    assert context.finding.is_complete, context.finding
    assert context.finding.state_count > 1, context.finding


@then('every property holds')
def expect_holds(context: Context) -> None:
    """Check that there is no counterexample."""
    assert not context.finding.violated, context.finding


@then('"{name}" is violated, with a counterexample')
def expect_violated(context: Context, name: str) -> None:
    """Check that there is a counterexample with more than one state."""
    violated = context.finding.violated
    assert name in violated, violated
    assert len(violated[name]) > 1, violated
