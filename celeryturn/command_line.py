"""Call functions with the arguments of the command line."""

import warnings
from typing import Any

import fire


def run_command_line(component: Any, name: str) -> None:
    """Call the function that the command line selects.

    :param component: A function, or a mapping from names to functions.
    :param name: Name of the program.
    """
    # Fire parses each argument as a Python literal, which emits a warning for
    # some paths.
    warnings.filterwarnings('ignore', category=SyntaxWarning)
    fire.Fire(component, name=name)
