"""Run the demo, the whole path as separate processes."""

import click.testing

from standins import demo


def test_demo_holds():
    """Everything that the demo checks holds."""
    result = click.testing.CliRunner().invoke(demo.main)
    assert result.exit_code == 0, result.output
    assert result.output.rstrip().endswith('done')
