"""Send HTTP requests to bambooring as a caller's program does."""

import dataclasses
import io
import json
import typing

import pycurl


@dataclasses.dataclass(slots=True, kw_only=True)
class Response:
    """Response to a request, or what arrived of it before an error.

    ``status`` is 0 if no response arrived; ``curl_error`` is libcurl's error
    code, 0 for none.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    curl_error: int = 0

    @property
    def is_successful(self) -> bool:
        """Whether a complete response with a 2xx status arrived."""
        return self.curl_error == 0 and 200 <= self.status < 300

    def extract_text(self) -> str:
        """Return the generated text of an event stream or of a JSON body."""
        if b'data: ' not in self.body:
            return json.loads(self.body)['choices'][0]['message']['content']
        contents = []
        for line in self.body.split(b'\n'):
            if line.startswith(b'data: {'):
                choice = json.loads(line[6:])['choices'][0]
                contents.append(choice['delta']['content'])
        return ''.join(contents)


def make_chat_body(model: str, **fields: typing.Any) -> bytes:
    """Return the body of a chat completion request.

    :param model: model name
    :param fields: further fields of the body, such as ``stream``
    """
    message = {'role': 'user', 'content': 'Draft the rota for Thursday.'}
    return json.dumps(
        {'model': model, 'messages': [message]} | fields
    ).encode()


def prepare_request(
    url: str,
    api_key: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> tuple[pycurl.Curl, io.BytesIO, dict[str, str]]:
    """Prepare a libcurl handle for one request without sending it.

    :param url: request URL
    :param api_key: API key of the client account
    :param body: body of a POST request, None for a GET request
    :param headers: additional request headers
    :param timeout_s: limit for the whole request
    :returns: the handle, and the buffer for the response body and the dict
        for the response headers, both of which the transfer fills
    """
    handle = pycurl.Curl()
    response_body = io.BytesIO()
    response_headers: dict[str, str] = {}

    def add_header(line: bytes) -> None:
        name, _, value = line.decode('latin-1').partition(':')
        response_headers[name.strip().lower()] = value.strip()

    header_lines = [f'Authorization: Bearer {api_key}', 'Expect:']
    header_lines += [
        f'{name}: {value}' for name, value in (headers or {}).items()
    ]
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.HTTPHEADER, header_lines)
    handle.setopt(pycurl.WRITEDATA, response_body)
    handle.setopt(pycurl.HEADERFUNCTION, add_header)
    handle.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
    handle.setopt(pycurl.NOSIGNAL, 1)
    if body is not None:
        handle.setopt(pycurl.POSTFIELDS, body)
    return handle, response_body, response_headers


def call(
    url: str,
    api_key: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60.0,
) -> Response:
    """Send one request and wait for the end of its response.

    The parameters are those of :func:`prepare_request`.
    """
    handle, response_body, response_headers = prepare_request(
        url, api_key, body, headers, timeout_s
    )
    curl_error = 0
    try:
        handle.perform()
    except pycurl.error as error:
        curl_error = error.args[0]
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    handle.close()
    return Response(
        status=status,
        headers=response_headers,
        body=response_body.getvalue(),
        curl_error=curl_error,
    )
