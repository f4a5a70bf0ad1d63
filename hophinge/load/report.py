"""The results of load runs, as a table in Markdown and a chart as SVG."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import jinja2
import pygal

from hophinge.load.clients import OUTCOMES, LoadResult

TABLE_TEMPLATE = jinja2.Environment(
    autoescape=False, trim_blocks=True, lstrip_blocks=True, undefined=jinja2.StrictUndefined
).from_string("""\
# {{ title }}

Seed {{ plan.seed }}, {{ "%.0f" % (plan.duration_us / 1e6) }} s of which the first \
{{ "%.0f" % (plan.warm_up_us / 1e6) }} s do \
not count. {{ plan.backends }} bricks with {{ plan.slots }} slots of {{ "%g" % (plan.work_us / 1000) }} ms a unit: \
{{ "%.0f" % plan.capacity }} units/s. Times are counted from when a first try was due.

| load | client | asked | in aim | {{ ends | join(" | ") }} | tries | p50, ms | p99, ms | refusal p99, ms \
| tool p99, ms |
|{{ " --- |" * (ends | length + 9) }}
{% for row in rows %}
| {{ row | join(" | ") }} |
{% endfor %}

| load | asked for, worth/s | earned, worth/s | of the best |
| --- | --- | --- | --- |
{% for row in goodput %}
| {{ row | join(" | ") }} |
{% endfor %}
""")


def render_table(title: str, results: Mapping[str, LoadResult]) -> str:
    """Return the table of some runs, by name."""
    rows, best = [], max((one.goodput for one in results.values()), default=0.0) or 1.0
    for name, result in results.items():
        for sort in result.client_classes:
            asked = max(1, sort.requests)
            rows.append(
                [
                    name,
                    sort.client.name,
                    sort.requests,
                    f"{100 * sort.outcomes['aim'] / asked:.1f} %",
                    *(sort.outcomes[end] for end in OUTCOMES[1:]),
                    sort.attempts,
                    *(
                        f"{one.get_value_at_percentile(part) / 1000:.1f}"
                        for one, part in (
                            (sort.latencies, 50),
                            (sort.latencies, 99),
                            (sort.rejection_times, 99),
                            (sort.start_delays, 99),
                        )
                    ),
                ]
            )
    goodput = [
        [name, f"{one.offered_value_rate:.0f}", f"{one.goodput:.0f}", f"{one.goodput / best:.2f}"]
        for name, one in results.items()
    ]
    return TABLE_TEMPLATE.render(
        title=title, plan=next(iter(results.values())).plan, ends=OUTCOMES[1:], rows=rows, goodput=goodput
    )


def render_chart(title: str, lines: Mapping[str, Sequence[tuple[float, float]]], across: str, up: str) -> bytes:
    """Return a chart of lines of points, as SVG."""
    drawn = pygal.XY(
        title=title,
        x_title=across,
        y_title=up,
        include_x_axis=True,
        show_dots=True,
        js=[],
        disable_xml_declaration=False,
    )
    for name, points in lines.items():
        drawn.add(name, [(round(x, 3), round(y, 3)) for x, y in points])
    return bytes(drawn.render())


def earned_share_by_second(result: LoadResult) -> list[tuple[float, float]]:
    """Return the share of the offered value that was earned, by second of arrival."""
    return [(at, row["earned"] / row["due"]) for at, row in sorted(result.slices.items()) if row["due"]]
