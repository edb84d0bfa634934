"""Run the demo, a complete cluster of separate processes."""

import click.testing

from standins import demo


def test_demo_passes():
    """All checks of the demo pass."""
    result = click.testing.CliRunner().invoke(demo.main)
    assert result.exit_code == 0, result.output
    assert result.output.rstrip().endswith('done')
