"""Checks of a routing document, and the command that runs them."""

import json
import pathlib
import tomllib
import typing

import hypothesis
from hypothesis import strategies
import pytest

from corianderport_operator import main
from corianderport_platform import documents
from corianderport_platform import routing_checks
from corianderport_tier.version import registrations
from corianderport_tier.version import routing_findings

from . import test_documents

_ROOT = pathlib.Path(__file__).parents[2]
_KEY = 'rvnz-secret'
_SERVICES = ('stock-1', 'stock-2', 'desk', 'desk-2')
Document = dict[str, typing.Any]
Finding = routing_findings.RoutingFinding


def _document(**changes: object) -> Document:
    backend = test_documents.ROUTING['backends'][0]
    return {
        **test_documents.ROUTING,
        'backends': [{**backend, 'name': name} for name in _SERVICES],
        **changes,
    }


def _tenant(name: str = 'alpha', **changes: object) -> Document:
    fields = {
        'name': name,
        'api_keys': [f'{name}-secret'],
        'priority': 1,
        'rate_per_s': 11,
        'burst': 12.5,
        **changes,
    }
    return {k: v for k, v in fields.items() if v is not None}


def _check(document: object) -> list[Finding]:
    return routing_checks.check(json.dumps(document).encode())


def _places(document: object) -> list[tuple[str, bool]]:
    return [(f.place, f.is_warning) for f in _check(document)]


def test_valid_document_has_no_findings() -> None:
    """Guards against warnings that operators learn to ignore."""
    assert _check(_document()) == []
    tenants = [
        _tenant(),
        _tenant('beta', rate_per_s=0, burst=None),
        _tenant('gamma', rate_per_s=None, burst=None, priority=None),
    ]
    assert _check(_document(tenants=tenants)) == []


@pytest.mark.parametrize(
    ('tenants', 'place', 'text'),
    [
        (
            [_tenant(), _tenant('beta', api_keys=['x', 'alpha-secret'])],
            'tenants[1].api_keys',
            "'beta' has a key of workspace 'alpha'",
        ),
        (
            [_tenant(), _tenant(api_keys=['x'], burst=5)],
            'tenants[1].api_keys',
            "'alpha' is defined twice",
        ),
        (
            [_tenant(), _tenant(api_keys=[], burst=5)],
            'tenants[1]',
            "'alpha' is defined twice",
        ),
        ([_tenant(rate_per_s=-1)], 'tenants[0].rate_per_s', 'negative'),
        ([_tenant(burst=-1)], 'tenants[0].burst', 'negative'),
        ([_tenant(burst='12')], 'tenants[0].burst', 'not a number'),
        ([_tenant(rate_per_s=True)], 'tenants[0].rate_per_s', 'not a number'),
        ([_tenant(priority=1.5)], 'tenants[0].priority', 'not a whole number'),
        ([_tenant(api_keys='x')], 'tenants[0].api_keys', 'not a list'),
        ([_tenant(name='')], 'tenants[0]', 'no valid name'),
        ([_KEY], 'tenants[0]', 'not an object'),
        ([_tenant(rate_per_sec=5)], 'tenants[0]', "'rate_per_sec'"),
        ([_tenant(**{_KEY: 5})], 'tenants[0]', 'unknown field (not shown)'),
        ({}, 'tenants', 'not a list'),
    ],
)
def test_fault_of_tenants_has_its_place(
    tenants: object, place: str, text: str
) -> None:
    """Guards against faults that are found only by the hosts, or nowhere."""
    findings = _check(_document(tenants=tenants))
    faults = [f for f in findings if not f.is_warning]
    assert [f.place for f in faults] == [place]
    assert text in faults[0].text


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'burst': None}, 'tenants[0]'),
        ({'burst': 0.5}, 'tenants[0].burst'),
        ({'api_keys': []}, 'tenants[0]'),
    ],
)
def test_doubtful_tenant_is_a_warning(
    changes: dict[str, object], place: str
) -> None:
    """Guards against a quota that refuses nearly every request."""
    document = _document(tenants=[_tenant(**changes)])
    assert _places(document) == [(place, True)]
    assert not isinstance(
        documents.decode('op/config', json.dumps(document).encode()),
        registrations.Unreadable,
    )


def test_number_that_is_not_finite() -> None:
    """Guards against a rate that JSON permits and no host accepts."""
    text = json.dumps(_document(tenants=[_tenant(rate_per_s=-987)]))
    for number in ('1e999', 'Infinity', 'NaN'):
        findings = routing_checks.check(text.replace('-987', number).encode())
        assert len(findings) == 1 and not findings[0].is_warning


def test_all_faults_are_reported_at_once() -> None:
    """Guards against a check that has to be run once for each fault."""
    routing = _document()
    gather, split = routing['routes']
    gather = {**gather, 'gather': ['stock-1', 'stok-2'], 'topk': 5}
    split = {
        **split,
        'split': [{'backend': 'desc', 'weight': 3, 'wait': 1}],
        'timeout_ms': 'soon',
    }
    single = {**split, 'timeout_ms': 400, 'backend': 'nowhere'}
    del single['split']
    document = _document(
        routes=[gather, split, single],
        limits={},
        tenants=[_tenant(rate_per_s=-1, burst='x'), _tenant('beta', rate=1)],
    )
    assert _places(document) == [
        ('limits', False),
        ('routes[1]', False),
        ('tenants[0].rate_per_s', False),
        ('tenants[0].burst', False),
        ('routes[0]', False),
        ('routes[0].gather[1]', False),
        ('routes[1].split[0]', False),
        ('routes[1].split[0].backend', False),
        ('routes[2].backend', False),
        ('tenants[1]', False),
    ]


def test_invalid_json_has_a_position() -> None:
    """Guards against searching a long document for a comma."""
    (finding,) = routing_checks.check(b'{\n"version": 7,,\n}')
    assert 'line 2' in finding.place


@pytest.mark.parametrize('tenants', [[_tenant(), _tenant('beta')], [_KEY], {}])
@pytest.mark.parametrize('limits', [{}, test_documents.ROUTING['limits']])
def test_check_and_host_agree(tenants: object, limits: object) -> None:
    """Guards against a document that passes the check and no host accepts."""
    document = json.dumps(_document(tenants=tenants, limits=limits)).encode()
    refused = isinstance(
        documents.decode('op/config', document), registrations.Unreadable
    )
    assert refused == bool(routing_checks.check(document))


_VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [*test_documents.ROUTING, 'name', 'backend', 'api_keys']
            ),
            inner,
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(derandomize=True)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(['routes', 'backends', 'tenants', 'limits']),
        _VALUES | strategies.lists(_VALUES, max_size=2),
    )
)
def test_any_document_is_checked(changes: Document) -> None:
    """Guards against a traceback instead of a place."""
    document = json.dumps(_document(**changes)).encode()
    findings = routing_checks.check(document)
    if isinstance(
        documents.decode('op/config', document), registrations.Unreadable
    ):
        assert any(not finding.is_warning for finding in findings)


@pytest.fixture
def installed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> pathlib.Path:
    """Install the metadata of the platform's package."""
    project = tomllib.loads((_ROOT / 'platform/pyproject.toml').read_text())
    groups = project['project']['entry-points']
    folder = tmp_path / 'site' / 'corianderport_platform-0.dist-info'
    folder.mkdir(parents=True)
    (folder / 'METADATA').write_text(
        'Metadata-Version: 2.1\nName: corianderport-platform\nVersion: 0\n'
    )
    lines = []
    for group, entries in groups.items():
        lines.append(f'[{group}]')
        lines += [f'{name} = {target}' for name, target in entries.items()]
    (folder / 'entry_points.txt').write_text('\n'.join(lines))
    monkeypatch.syspath_prepend(str(folder.parent))
    return tmp_path


def _run(*arguments: str) -> int:
    try:
        main.main(['check-routing', *arguments])
    except SystemExit as stopped:
        assert isinstance(stopped.code, int)
        return stopped.code
    return 0


def test_command(
    installed: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against exit codes and places that differ from the check."""
    path = installed / 'config.json'
    path.write_text(json.dumps(_document(tenants=[_tenant(burst=None)])))
    assert _run(str(path)) == 0
    text = capsys.readouterr().out
    assert 'warning' in text and '0 faults, 1 warnings' in text
    tenants = [_tenant(), _tenant('beta', api_keys=['alpha-secret'])]
    path.write_text(json.dumps(_document(tenants=tenants)))
    assert _run(str(path), '--json') == 1
    text = capsys.readouterr().out
    assert 'secret' not in text
    fields = json.loads(text)
    assert fields['faults'] == 1
    assert fields['findings'][0]['place'] == 'tenants[1].api_keys'
    assert _run(str(installed / 'missing.json')) == 2
    assert 'missing.json' in capsys.readouterr().err
