"""Detection of dead connections by the system: TCP user timeout and keepalive.

A connection may fail for good without a reset: a machine on its way has lost its state,
or the other end is gone. By default the system would keep it open for minutes.
"""

import socket

# The shortest interval that the system supports.
KEEPALIVE_INTERVAL_S = 1


def set_user_timeout(connection: socket.socket, unacknowledged_ms: int) -> None:
    """Have the system close ``connection`` when data stays unacknowledged this long."""
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
        )


def enable_keepalive(connection: socket.socket) -> None:
    """Have the system probe an idle ``connection`` each second.

    With :func:`set_user_timeout` it is closed when a probe is not answered. A caller
    that waits for an answer, or holds it for the next call, would not notice otherwise.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL"):
        if hasattr(socket, name):
            connection.setsockopt(
                socket.IPPROTO_TCP, getattr(socket, name), KEEPALIVE_INTERVAL_S
            )
