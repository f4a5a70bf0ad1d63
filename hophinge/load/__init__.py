"""A small load tool: open-loop arrivals of a seeded plan, backends with faults, histograms, a table and a chart."""
