"""A load tool: open-loop arrivals from a seeded plan, emulated backends with faults, and reports of the results."""
