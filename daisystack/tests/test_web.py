"""Test malformed HTTP over raw sockets: a 4xx or a closed connection, and the server stays up."""

import socket
import unittest

import eventlet

from daisystack.core.addresses import parse_address
from daisystack.runtime.web import Response, Route, StreamBody, read_body, serve_http
from daisystack.testing.scripted import free_address

VALID_REQUEST = (
    b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
)


class TestWeb(unittest.TestCase):
    def setUp(self):
        self.address = free_address()
        self.handled = 0
        routes = [
            Route("POST", "/echo", self.echo),
            Route(
                "GET",
                "/cut",
                lambda request, subpath: Response(200, StreamBody(fail_after_first_piece(), print)),
            ),
            Route("GET", "/fault", lambda request, subpath: 1 / 0),
        ]
        self.addCleanup(serve_http(parse_address(self.address), routes).kill)

    def echo(self, request, subpath):
        body = read_body(request, 100)
        self.handled += 1
        return Response(200, body)

    def send(self, sent, half_close=True):
        host, port = self.address.split(":")
        with socket.create_connection((host, int(port)), timeout=10) as sock:
            sock.sendall(sent)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            got = b""
            while piece := sock.recv(65536):
                got += piece
        return got

    def test_malformed_requests_are_rejected(self):
        table = {
            "garbage": b"\x00\xff\x00\r\n\r\n",
            "no version": b"POST\r\n\r\n",
            "long line": b"POST /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n",
            "long header": b"POST /echo HTTP/1.1\r\nA: " + b"x" * 20_000 + b"\r\n\r\n",
            "many headers": b"POST /echo HTTP/1.1\r\n" + b"A: b\r\n" * 20_000 + b"\r\n",
            "negative length": b"POST /echo HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            "length in words": b"POST /echo HTTP/1.1\r\nContent-Length: two\r\n\r\n",
            "two lengths": b"POST /echo HTTP/1.1\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nok",
            "body over the limit": b"POST /echo HTTP/1.1\r\nContent-Length: 101\r\n\r\n"
            + b"x" * 101,
            "body cut": b"POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\nok",
            "chunks cut": b"POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
            "no such path": b"POST /nowhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        }
        for name, sent in table.items():
            with self.subTest(name=name):
                got = self.send(sent)
                # Without a version the answer is in HTTP/0.9, which has no status line.
                refused = b" 4" in got.split(b"\r\n")[0] or b"Error code: 4" in got
                self.assertTrue(refused or not got, got[:200])
                self.assertEqual(self.handled, 0)
        self.assertTrue(self.send(VALID_REQUEST).endswith(b"\r\n\r\nok"))

    def test_handler_exception_is_not_exposed(self):
        got = self.send(b"GET /fault HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertIn(b" 500 ", got)
        self.assertNotIn(b"ZeroDivision", got)
        self.assertTrue(self.send(VALID_REQUEST).endswith(b"ok"))

    def test_cut_stream_has_no_last_chunk(self):
        got = self.send(b"GET /cut HTTP/1.1\r\nConnection: close\r\n\r\n")
        self.assertIn(b"first", got)
        self.assertNotIn(b"0\r\n\r\n", got)


def fail_after_first_piece():
    yield b"first"
    eventlet.sleep(0)
    raise RuntimeError("cut")
