"""Tests of the buffer into which connections are read."""

import threading

import h11

from currantline.wire import HttpConnection


class TestThreads:
    """Connections of event loops in different threads."""

    def test_own_buffer(self) -> None:
        """Guards against a response that holds bytes of another connection.

        A socket is read without the interpreter lock, so that the loop of another
        thread may read into the same buffer before the bytes are copied.
        """
        connections = [HttpConnection(h11.CLIENT, max_body_bytes=1) for _ in range(2)]
        buffers: list[bytearray] = []

        def find_buffers() -> None:
            buffers.extend(connection.get_buffer(-1) for connection in connections)

        for _ in range(2):
            thread = threading.Thread(target=find_buffers)
            thread.start()
            thread.join()
        assert buffers[0] is buffers[1]
        assert buffers[2] is buffers[3]
        assert buffers[0] is not buffers[2]
