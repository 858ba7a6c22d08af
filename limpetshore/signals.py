"""Handle the signals that a node process gets."""

import signal

import anyio
from logbook import Logger

logger = Logger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def hold_signals() -> None:
    """Let no signal end the process while its handlers are not there.

    Threads that are created from now on inherit this, so that later the main
    thread alone gets the signals and can hold them back again.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def deliver_signals() -> None:
    """Deliver signals to this thread, those held back among them."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


async def log_hangups() -> None:
    """Log each SIGHUP, which does not reload the settings."""
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            logger.info(
                'received SIGHUP; changed settings take effect after a restart'
            )
