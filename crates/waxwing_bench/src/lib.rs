//! Benchmarks and capacity measurements.

pub mod fleet;
