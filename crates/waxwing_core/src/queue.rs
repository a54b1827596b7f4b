//! The queues of waiting requests.

/// The queues of waiting requests.
#[derive(Debug, Default)]
pub struct FairQueue {}
