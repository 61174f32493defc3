//! Rates, concurrency shares, fair queueing, retry budgets and breakers.
