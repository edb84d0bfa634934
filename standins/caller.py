"""Call bambooring the way a caller's program would."""

import dataclasses
import io
import json
import typing

import pycurl


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Hold an answer; ``error`` is the HTTP library's, 0 for none."""

    status: int
    headers: dict[str, str]
    body: bytes
    error: int = 0

    @property
    def is_whole(self) -> bool:
        """Tell whether the answer came whole and without an error."""
        return self.error == 0 and 200 <= self.status < 300

    def read_text(self) -> str:
        """Return the words of a stream or of a whole answer."""
        if b'data: ' not in self.body:
            return json.loads(self.body)['choices'][0]['message']['content']
        words = []
        for line in self.body.split(b'\n'):
            if line.startswith(b'data: {'):
                choice = json.loads(line[6:])['choices'][0]
                words.append(choice['delta']['content'])
        return ''.join(words)


def make_chat(model: str, **more: typing.Any) -> bytes:
    """Return the body of a chat request."""
    message = {'role': 'user', 'content': 'Draft the rota for Thursday.'}
    return json.dumps({'model': model, 'messages': [message]} | more).encode()


def prepare(
    url: str,
    key: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> tuple[pycurl.Curl, io.BytesIO, dict[str, str]]:
    """Make a handle for one request.

    :returns: the handle, its body and its headers to be filled
    """
    handle = pycurl.Curl()
    answer = io.BytesIO()
    received: dict[str, str] = {}

    def read_header(line: bytes) -> None:
        name, _, value = line.decode('latin-1').partition(':')
        received[name.strip().lower()] = value.strip()

    lines = [f'Authorization: Bearer {key}', 'Expect:']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.HTTPHEADER, lines)
    handle.setopt(pycurl.WRITEDATA, answer)
    handle.setopt(pycurl.HEADERFUNCTION, read_header)
    handle.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
    handle.setopt(pycurl.NOSIGNAL, 1)
    if body is not None:
        handle.setopt(pycurl.POSTFIELDS, body)
    return handle, answer, received


def call(
    url: str,
    key: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> Answer:
    """Send one request and wait for its answer."""
    handle, answer, received = prepare(url, key, body, headers, timeout_s)
    error = 0
    try:
        handle.perform()
    except pycurl.error as failure:
        error = failure.args[0]
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    handle.close()
    return Answer(
        status=status, headers=received, body=answer.getvalue(), error=error
    )
