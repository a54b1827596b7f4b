//! The trait through which everything else reaches the store.

use std::future::Future;
use std::pin::Pin;

use waxwing_types::{Millis, Revision, common_derives};

use crate::{ChangesOutcome, ReadOutcome, VmsOutcome, WriteOutcome};

/// Greatest size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The future of a call, boxed so that [`Store`] can be a trait object.
pub type Pending<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

common_derives! {
    copy
    /// What must hold for a write to take effect.
    pub enum Condition {
        /// No object has this path.
        Absent,
        /// The object's version is this one.
        Version(Revision),
    }
}

/// The platform's object store.
///
/// Each write gets a version from one increasing sequence. No call is repeated by the store itself;
/// dropping the future gives the call up, which leaves the outcome of a write unknown.
pub trait Store: Send + Sync {
    /// Reads one object.
    fn get<'a>(&'a self, path: &'a str, timeout: Millis) -> Pending<'a, ReadOutcome>;

    /// Writes one object if the condition holds.
    fn put<'a>(
        &'a self,
        path: &'a str,
        value: Vec<u8>,
        condition: Condition,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome>;

    /// Removes one object for good if it has this version. [`Store::changes`] does not report it.
    fn delete<'a>(
        &'a self,
        path: &'a str,
        version: Revision,
        timeout: Millis,
    ) -> Pending<'a, WriteOutcome>;

    /// Returns the objects under `prefix` that changed after a revision.
    ///
    /// With `after` 0 and `wait` 0 this is a list. If nothing changed the store holds the call for
    /// up to `wait`, which makes it a watch. `timeout` covers the answer beyond `wait`.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
        timeout: Millis,
    ) -> Pending<'a, ChangesOutcome>;

    /// Returns the platform's list of VMs, which lags behind reality.
    fn vms(&self, timeout: Millis) -> Pending<'_, VmsOutcome>;
}
