//! The fingerprints of poison requests.

/// The fingerprints of poison requests.
#[derive(Debug, Default)]
pub struct Quarantine {}
