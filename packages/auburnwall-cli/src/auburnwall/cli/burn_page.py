"""The burn report as a self-contained HTML page with a bar chart."""

from html import escape

BAR_WIDTH_PX = 320
MAX_BAR_BURN = 10.0
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; }
table { border-collapse: collapse; width: 100%; }
th, td { padding: .3rem .6rem; text-align: left; border-bottom: 1px solid #ddd; }
.low { fill: #3b7d4f; } .high { fill: #b8860b; } .over { fill: #a8323e; }
"""


def render(report):
    """Return an HTML page, without external files, of the rows of ``burn_report``."""
    columns = ["objective", "team", "data_center", "window", "asked", "good_share"]
    head = "".join(f"<th>{escape(name)}</th>" for name in [*columns, "burn", ""])
    body = "".join(_row(row, columns) for row in report)
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'>"
        f"<title>Service-level burn</title><style>{_STYLE}</style>"
        "<h1>Service-level burn</h1><p>A burn of 1 uses up the error budget exactly "
        f"at the end of its period; bars are cut off at {MAX_BAR_BURN:g}.</p>"
        f"<table><tr>{head}</tr>{body}</table></html>"
    )


def _row(row, columns):
    cells = "".join(f"<td>{escape(str(row[name]))}</td>" for name in columns)
    burn = row["burn"]
    width_px = BAR_WIDTH_PX * min(burn, MAX_BAR_BURN) / MAX_BAR_BURN
    css_class = "low" if burn <= 1 else "high" if burn <= MAX_BAR_BURN / 2 else "over"
    bar = (
        f"<svg width='{BAR_WIDTH_PX}' height='14' role='img' aria-label='burn {burn}'>"
        f"<rect class='{css_class}' width='{width_px:.1f}' height='14'/></svg>"
    )
    return f"<tr>{cells}<td>{burn}</td><td>{bar}</td></tr>"
