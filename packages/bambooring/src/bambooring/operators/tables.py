"""Render rows of cells as a text table."""

import collections.abc


def render(
    header: list[str], rows: list[list[object]]
) -> collections.abc.Iterator[str]:
    """Yield the lines of a table with aligned columns.

    :param header: the names of the columns
    :param rows: the cells of each row, converted to text
    """
    cells = [header] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(header))
    ]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(padded).rstrip()
