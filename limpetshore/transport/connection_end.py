"""Decide when a connection may end, from what was sent and received."""

import contextlib
import fcntl
import select
import socket
import struct
import termios
from asyncio import Transport

INT = struct.Struct('i')


class ConnectionEnd:
    """Tell how much of what was written has reached the other side."""

    def __init__(self, transport: Transport) -> None:
        """Start before anything is written."""
        self.transport = transport
        self.written_bytes = 0
        self.whole_bytes = 0

    def mark_whole(self) -> None:
        """Record that all that was written so far are whole answers."""
        self.whole_bytes = self.written_bytes

    @property
    def has_unread_bytes(self) -> bool:
        """Tell whether bytes have arrived since the event loop last read."""
        poller = select.poll()
        poller.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return bool(poller.poll(0))

    @property
    def unreceived_bytes(self) -> int:
        """Return how many written bytes the other side has not acknowledged."""
        port = self.transport.get_extra_info('socket')
        queued = fcntl.ioctl(port.fileno(), termios.TIOCOUTQ, bytes(INT.size))
        return self.transport.get_write_buffer_size() + INT.unpack(queued)[0]

    @property
    def has_unreceived_answers(self) -> bool:
        """Tell whether bytes of whole answers have not been received yet."""
        received_bytes = self.written_bytes - self.unreceived_bytes
        return received_bytes < self.whole_bytes

    def send_end(self) -> None:
        """Send the end of the stream behind what is written.

        The event loop does so in a later step. If nothing waits to be sent, the
        end is sent now, so that nothing more is read before it.
        """
        if not self.transport.get_write_buffer_size():
            with self.transport.get_extra_info('socket').dup() as port:
                # The other side may have reset the connection.
                with contextlib.suppress(OSError):
                    port.shutdown(socket.SHUT_WR)
        self.transport.write_eof()
