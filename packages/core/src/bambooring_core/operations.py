"""Serve health checks and metrics over HTTP."""

import collections.abc
import typing

import werkzeug.wrappers

from bambooring_core import http
from bambooring_core import links
from bambooring_core import metrics

MAX_BODY_BYTES = 1024 * 1024

Application = collections.abc.Callable[..., typing.Any]
ReadinessCheck = collections.abc.Callable[[], bool]


def respond_to_probe(
    path: str, is_ready: ReadinessCheck
) -> werkzeug.wrappers.Response | None:
    """Return the response to a health check or a request for metrics.

    :param path: the request's path
    :param is_ready: returns whether the process accepts requests
    :returns: the response, or None for other paths
    """
    if path == '/health/live':
        return werkzeug.wrappers.Response('live\n')
    if path == '/health/ready':
        if is_ready():
            return werkzeug.wrappers.Response('ready\n')
        return werkzeug.wrappers.Response('not ready\n', status=503)
    if path == '/metrics':
        return werkzeug.wrappers.Response(
            metrics.render(), content_type='text/plain; version=0.0.4'
        )
    return None


def add_probes(inner: Application, is_ready: ReadinessCheck) -> Application:
    """Wrap a WSGI application with health checks and metrics.

    :param inner: the WSGI application for all other paths
    :param is_ready: returns whether the process accepts requests
    :returns: the wrapping WSGI application
    """

    def application(environ: dict, start_response: typing.Any) -> typing.Any:
        response = respond_to_probe(environ['PATH_INFO'], is_ready)
        if response is not None:
            return response(environ, start_response)
        return inner(environ, start_response)

    return application


def _respond_not_found(
    environ: dict, start_response: typing.Any
) -> collections.abc.Iterable[bytes]:
    response = werkzeug.wrappers.Response('not found\n', status=404)
    return response(environ, start_response)


def make_server(
    address: str,
    threads: int,
    is_ready: ReadinessCheck,
    fallback: Application | None = None,
) -> http.HttpServer:
    """Create the HTTP server for health checks, metrics and operators.

    :param address: 'IP:PORT'
    :param threads: the size of the server's thread pool
    :param is_ready: returns whether the process accepts requests
    :param fallback: the WSGI application for all other paths; without one they
        are not found
    :returns: the server, which starts on entering its context
    """

    application = add_probes(fallback or _respond_not_found, is_ready)
    return http.HttpServer(
        address=links.split_address(address),
        application=application,
        threads=threads,
        max_body_bytes=MAX_BODY_BYTES,
    )
