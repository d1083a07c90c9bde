"""Retry budgets, whose slack the nodes share through the log."""
