"""Policy around backend selection: routes, pools, limits, retry budgets, outlier ejection. No I/O, clock or asyncio."""
