//! The budget of retries.

/// The budget of retries.
#[derive(Debug, Default)]
pub struct RetryBudget {}
