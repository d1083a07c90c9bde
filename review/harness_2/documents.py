"""Configurations like those of a small deployment."""

from typing import Any

from harness_2.world import HOST, KEY, TENANT

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route with the prefix ``/NAME/``."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 15000,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
        'sticky': False,
        **more,
    }


def configuration(
    routes: list[dict[str, Any]], services: list[str], **limits: int
) -> dict[str, Any]:
    """Return a configuration with one organisation."""
    return {
        'version': 7,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 360,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {**LIMITS, **limits},
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


# The limits of a machine in the settings that the users' pages show.
MACHINE = {'memory_mb': 300, 'max_fds': 4200}
