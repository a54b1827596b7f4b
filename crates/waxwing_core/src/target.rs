//! The observations of targets.

/// The observations of targets.
#[derive(Debug, Default)]
pub struct TargetTable {}
