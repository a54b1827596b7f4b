//! Benchmarks and capacity measurements.
