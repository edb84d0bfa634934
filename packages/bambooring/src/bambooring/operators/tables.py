"""Print rows as a table of columns."""

import collections.abc


def render(
    header: list[str], rows: list[list[object]]
) -> collections.abc.Iterator[str]:
    """Yield a table's lines.

    :param header: the columns' names
    :param rows: the cells, row by row
    """
    cells = [header] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in cells) for column in range(len(header))
    ]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(padded).rstrip()
