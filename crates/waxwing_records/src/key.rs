//! The record of a caller's key, which holds the key's hash and never the key.

use std::fmt;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use waxwing_types::{WorkspaceId, common_derives};

use crate::Findings;
use crate::check::check_name;

common_derives! {
    copy
    /// SHA-256 of a key.
    pub struct KeyHash(pub [u8; 32]);
}

impl KeyHash {
    /// The hash of a key as a caller sends it.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let text = text.as_bytes();
        if text.len() != 64 {
            return None;
        }
        let mut out = [0; 32];
        for (byte, pair) in out.iter_mut().zip(text.chunks_exact(2)) {
            // `from_str_radix` accepts a sign.
            if !pair.iter().all(u8::is_ascii_hexdigit) {
                return None;
            }
            let digits = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(out))
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

common_derives! {
    /// A key that is granted to a workspace. The record's name is the key's public id.
    ///
    /// A caller sends `Authorization: Bearer ID.SECRET`; the hash covers the whole `ID.SECRET`.
    pub struct Key {
        /// The workspace for which requests with this key run.
        pub workspace: WorkspaceId,
        /// Hash of the key.
        pub hash: KeyHash,
    }
}

impl Key {
    pub(crate) fn check(&self, place: &str, out: &mut Findings) {
        check_name(&format!("{place}.workspace"), self.workspace.as_str(), out);
    }
}
