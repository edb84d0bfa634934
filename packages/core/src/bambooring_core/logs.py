"""Write logs as JSON lines."""

import logging
import sys

import structlog


def set_up(instance: str, failure_domain: str, level: str = 'info') -> None:
    """Send JSON lines to standard error.

    :param instance: the instance's name, put into each line
    :param failure_domain: its failure domain, put into each line
    :param level: the least level that is written
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _make_binder(instance, failure_domain),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _make_binder(
    instance: str, failure_domain: str
) -> structlog.typing.Processor:
    def bind(
        logger: object, name: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event['instance'] = instance
        event['failure_domain'] = failure_domain
        return event

    return bind
