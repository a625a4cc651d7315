"""Entry point of an instance on the users' platform."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from caperridge import elapsed, log
from caperridge.closing import end_process
from caperridge.findings import FindingsError
from caperridge.gateway.process import GatewayInstance
from caperridge.gateway.settings import Settings, load
from caperridge.log_stream import BoundedStream
from caperridge.platform.dialect import PlatformDialect
from caperridge.platform.store import HttpRowStore
from caperridge.platform.store_limits import PlatformStoreLimits

SETTINGS_VARIABLE = "CAPERRIDGE_CONFIG"
EXIT_FINDINGS = 3


def main() -> None:
    """Run until SIGTERM or SIGINT.

    Exits with status 3 and prints all findings if the settings are invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load(Path(path))
    except FindingsError as error:
        sys.exit(f"caperridge: {error}")
    stream = BoundedStream(sys.stdout.fileno())
    log.setup(settings.log_level, stream)
    elapsed.run(_serve(settings, Path(path), stream))


def _reload(instance: GatewayInstance, path: Path) -> None:
    """Reload the settings; if they are invalid, the current ones stay in force."""
    try:
        settings = load(path)
    except FindingsError as error:
        log.logger(__name__).error("settings not reloaded", findings=str(error))
        return
    instance.reload(settings)


async def _serve(settings: Settings, path: Path, stream: BoundedStream) -> None:
    limits = PlatformStoreLimits(settings.row_bytes, settings.object_bytes)
    store = HttpRowStore(settings.store, limits)
    instance = GatewayInstance(
        settings, PlatformDialect(settings.quota_window_s), store
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, instance, path)
    # The program blocks SIGHUP until its handler is set; a pending one is handled now.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    await instance.start()
    await stop.wait()
    await instance.stop(instance.settings.grace_s)
    await end_process(instance.parts() | {"store": store.close}, stream)
