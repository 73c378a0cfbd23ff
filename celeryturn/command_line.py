"""Turn the words of a command line into a call."""

import warnings
from typing import Any

import fire


def run_command_line(component: Any, name: str) -> None:
    """Call what the command line names.

    :param component: A function, or functions by name.
    :param name: Name of the program.
    """
    # Words are tried as Python literals, which warns of some paths.
    warnings.filterwarnings('ignore', category=SyntaxWarning)
    fire.Fire(component, name=name)
