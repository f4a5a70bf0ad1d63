"""Renders the results of load runs as Markdown tables and an SVG chart."""

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
    """Return the tables of some runs in Markdown; `results` has them by name."""
    rows, best_goodput = [], max((run.goodput for run in results.values()), default=0.0) or 1.0
    for name, result in results.items():
        for class_result in result.client_classes:
            request_count = max(1, class_result.requests)
            rows.append(
                [
                    name,
                    class_result.client.name,
                    class_result.requests,
                    f"{100 * class_result.outcomes['aim'] / request_count:.1f} %",
                    *(class_result.outcomes[outcome] for outcome in OUTCOMES[1:]),
                    class_result.attempts,
                    *(
                        f"{durations.percentile_us(percentile) / 1000:.1f}"
                        for durations, percentile in (
                            (class_result.latencies, 50),
                            (class_result.latencies, 99),
                            (class_result.rejection_times, 99),
                            (class_result.start_delays, 99),
                        )
                    ),
                ]
            )
    goodput = [
        [name, f"{run.offered_value_rate:.0f}", f"{run.goodput:.0f}", f"{run.goodput / best_goodput:.2f}"]
        for name, run in results.items()
    ]
    return TABLE_TEMPLATE.render(
        title=title, plan=next(iter(results.values())).plan, ends=OUTCOMES[1:], rows=rows, goodput=goodput
    )


def render_chart(title: str, lines: Mapping[str, Sequence[tuple[float, float]]], x_title: str, y_title: str) -> bytes:
    """Return a line chart as SVG; `lines` has the points of each line by its name."""
    chart = pygal.XY(
        title=title,
        x_title=x_title,
        y_title=y_title,
        include_x_axis=True,
        show_dots=True,
        js=[],
        disable_xml_declaration=False,
    )
    for name, points in lines.items():
        chart.add(name, [(round(x, 3), round(y, 3)) for x, y in points])
    return bytes(chart.render())


def earned_share_by_second(result: LoadResult) -> list[tuple[float, float]]:
    """Return the share of the due value that was earned, as points by second of arrival."""
    return [(second, row["earned"] / row["due"]) for second, row in sorted(result.slices.items()) if row["due"]]
