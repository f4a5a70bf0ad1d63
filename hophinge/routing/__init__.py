"""What decides beside the module: routes, pools, limits, retry budgets, outliers. No I/O, no clock, no asyncio."""
