"""A caller in a scenario: one request, sent and received in its own thread."""

import contextlib
import json
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import h11

from standins import responses
from standins.request_framing import encode_request

READ_BYTES = 65536
RESPONSE_TIMEOUT_S = 60.0


@dataclass
class Call:
    """A request and what its caller has received of the response.

    whole is true only for a response that is complete with its end marker and has the
    expected text; cut means that the caller can detect that a part is missing.
    """

    port: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    status: int | None = None
    answer_headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""
    ended: bool = False
    cut: bool = False
    first_byte_s: float | None = None
    total_s: float | None = None
    _socket: socket.socket | None = None

    def start(self) -> None:
        """Send the request and receive the response in a thread."""
        threading.Thread(target=self.send_and_receive, daemon=True).start()

    def disconnect(self) -> None:
        """Close the connection before the response is complete."""
        if self._socket is not None:
            self._socket.shutdown(socket.SHUT_RDWR)

    def send_and_receive(self) -> None:
        """Send the request and receive the response until it ends or breaks."""
        begun = time.monotonic()
        http = h11.Connection(h11.CLIENT)
        try:
            self._socket = socket.create_connection(("127.0.0.1", self.port))
            self._socket.settimeout(RESPONSE_TIMEOUT_S)
            self._socket.sendall(self._request_bytes(http))
            self._receive(http, self._socket, begun)
        except (OSError, h11.ProtocolError):
            self.cut = True
        finally:
            self.total_s = time.monotonic() - begun
            self.ended = True
            if self._socket is not None:
                self._socket.close()

    def _request_bytes(self, http: h11.Connection) -> bytes:
        fields = {"Host": f"127.0.0.1:{self.port}", **self.headers}
        return encode_request(http, self.method, self.target, fields, self.body)

    def _receive(self, http: h11.Connection, sock: socket.socket, begun: float) -> None:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                self.first_byte_s = time.monotonic() - begun
                self.answer_headers = {k.decode(): v.decode() for k, v in event.headers}
                self.status = event.status_code
            elif isinstance(event, h11.Data):
                self.answer += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            elif isinstance(event, h11.ConnectionClosed):
                self.cut = True
                return

    # Properties that scenarios can name in `expect` steps.

    @property
    def outcome(self) -> str | None:
        """The X-Outcome header."""
        return self.answer_headers.get("x-outcome")

    @property
    def request_id(self) -> str | None:
        """The request id assigned by the entry host."""
        return self.answer_headers.get("x-request-id")

    @property
    def retry_after(self) -> float | None:
        """The Retry-After header in seconds."""
        text = self.answer_headers.get("retry-after")
        return float(text) if text is not None else None

    @property
    def reason(self) -> str | None:
        """The reason code in the JSON body of a refusal."""
        with contextlib.suppress(ValueError):
            document = json.loads(self.answer)
            error = document.get("error", document)
            if isinstance(error, dict):
                return error.get("reason") or error.get("code")
        return None

    @property
    def events(self) -> int:
        """Number of stream events received."""
        return self.answer.count(b"\n\n")

    @property
    def whole(self) -> bool:
        """Whether the response is complete and the expected one for this request."""
        if not self.ended or self.cut or self.status != 200:
            return False
        if "text/event-stream" in self.answer_headers.get("content-type", ""):
            return self.answer.endswith(b"data: [DONE]\n\n") and self._text_is_correct()
        if b'"choices"' in self.answer:
            return self._text_is_correct()
        expected = responses.plain_response(self.method, self.target, self.body)
        return self.answer == expected

    @property
    def looks_whole(self) -> bool:
        """Whether the response would seem complete to a caller."""
        return self.ended and not self.cut and self.status == 200

    def _text_is_correct(self) -> bool:
        return response_text(self.answer) == responses.engine_text(
            json.loads(self.body)
        )


def response_text(response: bytes) -> str:
    """Return the generated text in the events or the JSON of an engine's response."""
    if not response.startswith(b"{"):
        lines = [part for part in response.splitlines() if part.startswith(b"data: {")]
        documents = [json.loads(part.removeprefix(b"data: ")) for part in lines]
    else:
        documents = [json.loads(response)]
    choices: list[dict[str, Any]] = [c for d in documents for c in d["choices"]]
    return "".join(
        choice["text"]
        if "text" in choice
        else choice.get("delta", choice.get("message", {})).get("content", "")
        for choice in choices
    )
