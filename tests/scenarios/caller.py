"""A caller of a scenario: one request, followed in a thread of its own."""

import contextlib
import json
import socket
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import h11

from standins import responses

READ_BYTES = 65536
RESPONSE_TIMEOUT_S = 60.0


@dataclass
class Call:
    """A request on its way, and what its caller has seen of the answer.

    whole is true only for an answer that ended by its own end mark and has the
    expected text; cut means that the caller can see that a part is missing.
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
        """Send the request and follow its answer."""
        threading.Thread(target=self.send_and_receive, daemon=True).start()

    def disconnect(self) -> None:
        """Close the connection, as a caller does that has lost its patience."""
        if self._socket is not None:
            self._socket.shutdown(socket.SHUT_RDWR)

    def send_and_receive(self) -> None:
        """Send the request and follow its answer to the end."""
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
        if self.body:
            fields["Content-Length"] = str(len(self.body))
        head = h11.Request(
            method=self.method, target=self.target, headers=list(fields.items())
        )
        data = http.send(head) or b""
        if self.body:
            data += http.send(h11.Data(data=self.body)) or b""
        return data + (http.send(h11.EndOfMessage()) or b"")

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

    # What a scenario may expect, by name.

    @property
    def outcome(self) -> str | None:
        """The X-Outcome header, or the outcome at the end of a stream."""
        return self.answer_headers.get("x-outcome")

    @property
    def request_id(self) -> str | None:
        """The id that the entry host gave to the request."""
        return self.answer_headers.get("x-request-id")

    @property
    def retry_after(self) -> float | None:
        """Seconds after which the caller is told to come back."""
        text = self.answer_headers.get("retry-after")
        return float(text) if text is not None else None

    @property
    def reason(self) -> str | None:
        """The code in a refusal's JSON body."""
        with contextlib.suppress(ValueError):
            document = json.loads(self.answer)
            error = document.get("error", document)
            return error.get("reason") or error.get("code")
        return None

    @property
    def events(self) -> int:
        """How many events of a stream have come."""
        return self.answer.count(b"\n\n")

    @property
    def whole(self) -> bool:
        """Whether the answer is the whole and true one to this request."""
        if not self.ended or self.cut or self.status != 200:
            return False
        if "text/event-stream" in self.answer_headers.get("content-type", ""):
            return self.answer.endswith(b"data: [DONE]\n\n") and self._text_is_true()
        if b'"choices"' in self.answer:
            return self._text_is_true()
        expected = responses.plain_response(self.method, self.target, self.body)
        return self.answer == expected

    @property
    def looks_whole(self) -> bool:
        """Whether a caller would take the answer for a whole one."""
        return self.ended and not self.cut and self.status == 200

    def _text_is_true(self) -> bool:
        return response_text(self.answer) == responses.engine_text(
            json.loads(self.body)
        )


def response_text(answer: bytes) -> str:
    """Return the text that the events or the JSON of an engine's answer carry."""
    if not answer.startswith(b"{"):
        lines = [part for part in answer.splitlines() if part.startswith(b"data: {")]
        documents = [json.loads(part.removeprefix(b"data: ")) for part in lines]
    else:
        documents = [json.loads(answer)]
    choices: list[dict[str, Any]] = [c for d in documents for c in d["choices"]]
    return "".join(
        choice["text"]
        if "text" in choice
        else choice.get("delta", choice.get("message", {})).get("content", "")
        for choice in choices
    )
