"""The lifecycle of one request: attempts, deadlines, streams, retry budgets."""
