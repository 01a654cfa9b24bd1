"""Invalid files, bodies and HTTP requests are rejected with a specific error.

Malformed input must not crash a process or block its other clients.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from jacinthloom_wire import bodies
from jacinthloom_wire.checks import CheckError
from jacinthloom_wire.configuration_file import load_configuration
from jacinthloom_wire.http_client import HttpClient
from jacinthloom_wire.http_server import (
    HttpServer,
    Request,
    ServerLimits,
    ServerResponse,
)
from jacinthloom_wire.settings_file import ProcessSettings


class FileTest(unittest.TestCase):
    def write(self, text: str) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "file.toml"
        path.write_text(text)
        return path

    def test_every_problem_of_a_configuration_is_reported(self) -> None:
        path = self.write(
            '[[class]]\nname = "a b"\nkind = "batches"\nweight = 3\n'
            '[[team]]\nname = "x"\nshare = -1\nlimit = { processors = "many" }\n'
        )
        with self.assertRaises(CheckError) as caught:
            load_configuration(path)
        keys = sorted(problem.key for problem in caught.exception.problems)
        self.assertEqual(
            keys,
            [
                "class[0].kind",
                "class[0].name",
                "class[0].weight",
                "team[0].limit.processors",
                "team[0].share",
            ],
        )
        text = str(caught.exception)
        self.assertIn(str(path), text)
        self.assertIn("found 'batches'; allowed: one of request, batch", text)

    def test_class_with_wrong_target_or_repeated_name_is_rejected(self) -> None:
        path = self.write(
            '[[class]]\nname = "a"\nkind = "request"\ndone_by = "07:30"\n'
            '[[class]]\nname = "a"\nkind = "batch"\ndone_within = "4h"\n'
            '[[team]]\nname = "x"\nshare = 1\n'
        )
        with self.assertRaises(CheckError) as caught:
            load_configuration(path)
        self.assertIn("exactly one of answer_within", str(caught.exception))
        self.assertIn("a name used only once", str(caught.exception))

    def test_every_problem_of_settings_is_reported(self) -> None:
        path = self.write('name = "e1"\nhttp_address = "localhost:1"\nextra = 1\n')
        with self.assertRaises(CheckError) as caught:
            ProcessSettings.from_file(path)
        keys = {problem.key for problem in caught.exception.problems}
        self.assertLessEqual({"zone", "http_address", "extra"}, keys)

    def test_invalid_or_missing_toml_file_is_rejected(self) -> None:
        with self.assertRaises(CheckError):
            load_configuration(self.write("[[class"))
        with self.assertRaises(CheckError):
            load_configuration(Path("/does/not/exist"))


class BodyTest(unittest.TestCase):
    def test_invalid_bodies_are_rejected(self) -> None:
        for body in (
            b"",
            b"[]",
            b"\xff",
            b"[" * 100_000,
            b'{"class": 3}',
            b'{"class": "a", "unknown": 1}',
            b'{"class": "a", "need": {"processors": "2"}}',
            b'{"class": "a", "need": {"processors": true}}',
            b'{"class": "a", "idempotent": false}',
        ):
            with self.subTest(body=body[:40]), self.assertRaises(CheckError):
                bodies.parse_request(body, "r-1")

    def test_error_names_key_and_value_found(self) -> None:
        with self.assertRaises(CheckError) as caught:
            bodies.parse_job(b'{"class": "a", "need": {"processors": -1}}', "j-1")
        (problem,) = caught.exception.problems
        self.assertEqual((problem.key, problem.found), ("need.processors", "-1"))


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        limits = ServerLimits(2, 1000, 0.2, 0.2, 5.0)
        self.server = HttpServer(self.answer, limits)
        self.address = await self.server.start("127.0.0.1:0")
        self.addAsyncCleanup(self.server.close, 0.0)

    async def answer(self, request: Request) -> ServerResponse:
        return ServerResponse.from_json(200, {"path": request.path})

    async def send(self, data: bytes) -> bytes:
        host, _, port = self.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        finally:
            writer.close()

    async def test_malformed_oversized_and_slow_requests_get_status(self) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: a\r\n"
        for data, status in (
            (b"nonsense\r\n\r\n", b"400"),
            (head + b"Content-Length: 5000\r\n\r\n" + b"x" * 5000, b"413"),
            (head + b"Content-Length: 50\r\n\r\nx", b"408"),
            (head, b"408"),
            (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 100_000, b"431"),
        ):
            with self.subTest(data=data[:30]):
                answer = await self.send(data)
                self.assertEqual(answer.split(b" ")[1], status)

    async def test_connection_above_limit_is_refused(self) -> None:
        host, _, port = self.address.partition(":")
        held = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
        await asyncio.sleep(0.05)
        answer = await self.send(b"")
        self.assertIn(b"503", answer)
        for _, writer in held:
            writer.close()

    async def test_consecutive_requests_of_a_client_are_answered(self) -> None:
        client = HttpClient(self.address)
        for _ in range(2):
            response = await client.request("GET", "/ok")
            self.assertEqual(response.parse_json(), {"path": "/ok"})
        client.close()
