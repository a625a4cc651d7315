"""Having the system end a connection on which nothing is acknowledged any more.

A connection may go silent for good without a reset: a machine on its way has forgotten
it, or the other end has gone without a word. The system would keep it for minutes.
"""

import socket

# The least that the system can be asked for.
KEEPALIVE_INTERVAL_S = 1


def set_user_timeout(connection: socket.socket, unacknowledged_ms: int) -> None:
    """End ``connection`` when what was sent is not acknowledged for so long."""
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
        )


def enable_keepalive(connection: socket.socket) -> None:
    """Have the system ask after an idle ``connection``, each second.

    With :func:`set_user_timeout` it ends when there is no answer; one that waits for an
    answer, or is kept for the next call, does not find out by itself.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL"):
        if hasattr(socket, name):
            connection.setsockopt(
                socket.IPPROTO_TCP, getattr(socket, name), KEEPALIVE_INTERVAL_S
            )
