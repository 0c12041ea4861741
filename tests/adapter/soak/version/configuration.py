"""The configuration of a run, with the fields that faults change."""

import typing

import attrs

__all__ = [
    'Configuration',
    'GATHERED',
    'KEYS',
    'ONCE',
    'PATHS',
    'REPEATED',
    'RULES',
    'Rules',
    'SERVICES',
    'Workspace',
]

ONCE = '/once/x'
REPEATED = '/pair/x'
GATHERED = '/all/x'
PATHS = (ONCE, REPEATED, GATHERED)
# Services and the number of their searchers. A request that may run once
# meets the same searcher again after a refusal.
SERVICES = {'desk': 1, 'pair': 2, 'stock-1': 1, 'stock-2': 1}


@attrs.frozen
class Rules:
    """Bounds that hosts promise; they are part of the settings of a host."""

    revoke_s: float = 5.0
    quota_window_s: float = 5.0
    quota_excess: float = 0.25
    quota_slack: float = 20.0
    contact_s: float = 4.0


RULES = Rules()


@attrs.frozen
class Workspace:
    """A workspace; without a rate its requests are not limited."""

    name: str
    key: str
    rate_per_s: float = 0.0
    burst: float = 0.0


_WORKSPACES = (
    Workspace('alpha', 'secret-alpha', 10.0, 5.0),
    Workspace('beta', 'secret-beta'),
    Workspace('gamma', 'secret-gamma'),
)
KEYS = {workspace.name: workspace.key for workspace in _WORKSPACES}
_LIMITS = {
    'max_header_bytes': 65_536,
    'max_body_bytes': 262_144,
    'header_timeout_ms': 3_000,
    'idle_timeout_ms': 15_000,
}


@attrs.define
class Configuration:
    """Builds the routing document; each change gives a new version."""

    version: int = 7
    limits: dict[str, int] = attrs.Factory(lambda: dict(_LIMITS))
    removed: set[str] = attrs.Factory(set)
    rates: dict[str, float] = attrs.Factory(
        lambda: {w.name: w.rate_per_s for w in _WORKSPACES}
    )
    # Weight of the service ``desk`` among the targets of ``/pair/``.
    desk_weight: float = 0.0
    max_connections: int = 60

    def document(self) -> dict[str, typing.Any]:
        """Return the next version of the document."""
        self.version += 1
        pair = [{'backend': 'pair', 'weight': 1.0}]
        if self.desk_weight:
            pair.append({'backend': 'desk', 'weight': self.desk_weight})
        targets: tuple[dict[str, typing.Any], ...] = (
            {'kind': 'non_idempotent', 'backend': 'desk'},
            {'kind': 'idempotent', 'split': pair},
            {
                'kind': 'idempotent',
                'gather': ['stock-1', 'stock-2'],
                'top_k': 10,
                'min_shard_ratio': 0.5,
            },
        )
        return {
            'version': self.version,
            'routes': [
                {
                    'name': path.strip('/x'),
                    'host': 'a.example',
                    'prefix': path.removesuffix('x'),
                    'timeout_ms': 2_000,
                    'goal_ms': 1_000,
                    'priority': 1,
                    'attempts': 3,
                    **target,
                }
                for path, target in zip(PATHS, targets, strict=True)
            ],
            'backends': [
                {
                    'name': service,
                    'health_path': '/healthz',
                    'max_conns': self.max_connections,
                    'proto': 'h1',
                    'tls': False,
                }
                for service in SERVICES
            ],
            'limits': dict(self.limits),
            'tenants': [
                {
                    'name': w.name,
                    'api_keys': [] if w.name in self.removed else [w.key],
                    'rate_per_s': self.rates[w.name],
                    'burst': w.burst,
                }
                for w in _WORKSPACES
            ],
        }
