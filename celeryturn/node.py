"""The daemon on the users' platform: ``python3 -m celeryturn.node``.

This module only prepares the process.  Loading the daemon takes a while, in
which SIGHUP would end the process.
"""

import importlib
import signal
from typing import Final

DAEMON: Final = 'celeryturn.node_daemon'


def main() -> None:
    """Entry point of the process."""
    # The daemon reads the settings after this, so that a reload loses nothing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(DAEMON).main()


if __name__ == '__main__':
    main()
