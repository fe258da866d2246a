"""The packages that a gateway needs at run time."""

import ast
import graphlib
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = 'rhubarbspar.gateway'
PROBE = """
import sys
for absent in ('OpenSSL', 'cryptography', 'service_identity', 'treq'):
    sys.modules[absent] = None
import rhubarbspar.gateway.daemon
"""


def pinned(path):
    """Return the pinned requirements in a file."""
    lines = path.read_text().splitlines()
    return {line for line in lines if line and not line.startswith('#')}


def test_gateway_starts_without_the_libraries_that_its_platform_does_not_install():
    """Guards against an import that ends every gateway at its start.

    The platform installs fewer packages than the development environment.
    """
    subprocess.run([sys.executable, '-c', PROBE], cwd=ROOT, check=True)


def test_deployed_versions_are_those_that_are_tested():
    """Guards against deploying dependency versions that differ from those used in the tests."""
    deployed = pinned(ROOT / 'deploy' / 'requirements.txt')
    assert deployed < pinned(ROOT / 'requirements.txt')


def module_name(path):
    """Return the name under which a module is imported."""
    return '.'.join(path.relative_to(ROOT).with_suffix('').parts)


def imported_modules(path):
    """Return the names of the modules of the gateway that one of them imports."""
    return {
        f'{node.module}.{alias.name}'
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and (node.module or '').startswith(PACKAGE)
        for alias in node.names
    }


def test_modules_do_not_import_each_other_in_a_circle():
    """Guards against modules that only work when they are imported in a certain order."""
    modules = (ROOT / 'rhubarbspar' / 'gateway').rglob('*.py')
    graph = {module_name(path): imported_modules(path) for path in modules}
    graphlib.TopologicalSorter(graph).prepare()
