"""Starts one instance on the users' platform from a checkout."""

import gc
import signal
import sys


def start() -> None:
    """Import the product's parts and run."""
    # A signal of which nothing is said ends the process. This one is kept back while
    # the parts are imported, and handled as soon as somebody can.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # Looking a hundred times through what imports make, nearly all of which stays, took
    # a tenth of the processor time of a start.
    gc.disable()
    from pathlib import Path

    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

    from caperridge.platform.serve import main

    gc.freeze()
    gc.enable()
    main()


if __name__ == "__main__":
    start()
