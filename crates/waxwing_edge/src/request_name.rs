//! Names by which VMs recognize the copies of a request.

use serde::{Deserialize, Serialize};
use waxwing_types::common_derives;
use xxhash_rust::xxh3::Xxh3;

/// Number of bytes at the start of a body that a partial name covers.
const PARTIAL_BYTES: usize = 4096;
/// The bit that is set in partial names only.
const PARTIAL_BIT: u64 = 1;

common_derives! {
    key
    /// Hash of a request: of its method, host, path with query, caller and body. The same on every VM.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct RequestName(u64);
}

impl RequestName {
    /// Whether the name covers only the start of the body, so that different requests have it.
    pub fn is_partial(self) -> bool {
        self.0 & PARTIAL_BIT != 0
    }
}

/// Computes the names of a request while its body arrives. How the body is divided into pieces has no effect.
#[derive(Clone)]
pub struct NameHasher {
    state: Xxh3,
    body_bytes: usize,
    /// Set once the start of the body has arrived.
    partial: Option<RequestName>,
}

impl NameHasher {
    /// Starts with the parts of the request that precede its body.
    pub fn new(head: &[&[u8]]) -> Self {
        let mut state = Xxh3::new();
        for part in head {
            // Without the lengths, different heads could yield the same bytes.
            state.update(&(part.len() as u64).to_le_bytes());
            state.update(part);
        }
        Self {
            state,
            body_bytes: 0,
            partial: None,
        }
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        let missing = PARTIAL_BYTES.saturating_sub(self.body_bytes);
        if self.partial.is_none() && bytes.len() >= missing {
            let (start, rest) = bytes.split_at(missing);
            self.state.update(start);
            self.partial = Some(RequestName(self.state.digest() | PARTIAL_BIT));
            self.state.update(rest);
        } else {
            self.state.update(bytes);
        }
        self.body_bytes += bytes.len();
    }

    /// The name of the whole request. To be called at the end of the body.
    pub fn whole(&self) -> RequestName {
        RequestName(self.state.digest() & !PARTIAL_BIT)
    }

    /// The name that a request shares with all whose bodies begin alike. `None` until 4,096 bytes of the body have arrived.
    pub fn partial(&self) -> Option<RequestName> {
        self.partial
    }
}
