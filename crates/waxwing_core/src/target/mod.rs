//! x

/// x
#[derive(Debug, Default)]
pub struct TargetTable {}
