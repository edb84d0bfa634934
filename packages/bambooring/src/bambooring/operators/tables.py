"""Render rows of cells as a text table."""

import collections.abc


def render(
    header: list[str], rows: list[list[object]]
) -> collections.abc.Iterator[str]:
    """Yield the lines of a table with aligned columns.

    :param header: the names of the columns
    :param rows: the cells of each row, converted to text
    """
    text_rows = [header] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(row[column]) for row in text_rows)
        for column in range(len(header))
    ]
    for row in text_rows:
        padded_cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(padded_cells).rstrip()
