"""OpenTelemetry metrics and traces of one process."""

from collections.abc import Mapping
from contextlib import AbstractContextManager
from typing import TextIO

from opentelemetry import metrics, propagate
from opentelemetry import trace as tracing
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)

SCOPE = 'mallowspindle'
tracer = tracing.get_tracer(SCOPE)
meter = metrics.get_meter(SCOPE)


def configure_telemetry(
    node_name: str, traces_file: str, otlp_endpoint: str
) -> TracerProvider:
    """Install the exporters; an empty string disables an exporter.

    Without any, no spans are recorded; a caller's ``traceparent`` is passed
    on.
    ``/metrics`` serves the metrics. Shut down the returned provider to flush
    the last spans.
    """
    resource = Resource.create({'service.name': SCOPE, 'host.name': node_name})
    metrics.set_meter_provider(
        MeterProvider([PrometheusMetricReader()], resource=resource)
    )
    provider = TracerProvider(resource=resource)
    if traces_file:
        provider.add_span_processor(
            BatchSpanProcessor(_file_exporter(traces_file))
        )
    if otlp_endpoint:
        provider.add_span_processor(_otlp_processor(otlp_endpoint))
    if traces_file or otlp_endpoint:
        tracing.set_tracer_provider(provider)
    return provider


def hop_span(
    name: str, kind: tracing.SpanKind, carrier: Mapping[str, str] | None = None
) -> AbstractContextManager[tracing.Span]:
    """Start the span of one hop, a child of the carrier's ``traceparent``."""
    context = None if carrier is None else propagate.extract(carrier)
    return tracer.start_as_current_span(name, context=context, kind=kind)


def trace_headers() -> dict[str, str]:
    """Return the headers that pass the current span on to the next hop."""
    headers: dict[str, str] = {}
    propagate.inject(headers)
    return headers


def _otlp_processor(endpoint: str) -> BatchSpanProcessor:
    # Imported only when it is used: the import takes 0.1 s and 10 MB.
    from opentelemetry.exporter.otlp.proto.http import (  # noqa: PLC0415
        trace_exporter,
    )

    return BatchSpanProcessor(
        trace_exporter.OTLPSpanExporter(endpoint=endpoint)
    )


def _file_exporter(path: str) -> ConsoleSpanExporter:
    stream: TextIO = open(path, 'a', encoding='utf-8')  # noqa: SIM115, WPS515
    return ConsoleSpanExporter(out=stream, formatter=_format_span)


def _format_span(span: ReadableSpan) -> str:
    return f'{span.to_json(indent=None)}\n'
