//! Amounts and revisions.

use std::fmt;

use crate::common_derives;

common_derives! {
    key
    /// An amount of a limit in millionths: tokens, or bytes of a link.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct Micros(pub u64);
}

impl Micros {
    /// Nothing.
    pub const ZERO: Self = Self(0);
    /// Millionths in one whole unit.
    pub const PER_UNIT: u64 = 1_000_000;

    /// An amount of `units` whole units.
    pub const fn from_units(units: u64) -> Self {
        Self(units.saturating_mul(Self::PER_UNIT))
    }

    /// The sum, at most the greatest amount.
    #[must_use]
    pub const fn saturating_add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }

    /// The difference, at least zero.
    #[must_use]
    pub const fn saturating_sub(self, rhs: Self) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

impl fmt::Display for Micros {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (whole, part) = (self.0 / Self::PER_UNIT, self.0 % Self::PER_UNIT);
        write!(f, "{whole}.{part:06}")
    }
}

common_derives! {
    key
    /// A position in the store's single sequence of writes.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct Revision(pub u64);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

common_derives! {
    key
    /// Number that the store raises each time it comes back from an older copy of its state. A [`Revision`] names one state of the
    /// store only within one epoch: after a restore, revisions are given out again.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct StoreEpoch(pub u64);
}

impl fmt::Display for StoreEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
