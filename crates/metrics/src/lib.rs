//! Counters, histograms and gauges, exported in the Prometheus text format.
