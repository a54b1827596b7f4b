//! Time in whole milliseconds.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use crate::common_derives;

common_derives! {
    key
    /// A point in time or a span, in milliseconds.
    ///
    /// Points are counted from an origin that belongs to one process, so points of two processes
    /// are never compared. Arithmetic saturates.
    #[derive(Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct Millis(pub u64);
}

impl Millis {
    /// No time at all, and the origin of a clock.
    pub const ZERO: Self = Self(0);
    /// A point that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// A span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// The span since `earlier`, zero if `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The span as the standard library's type.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// The time since the clock's origin. Never goes back.
    fn now(&self) -> Millis;
}

/// Clock of the running process, based on the system's boot-time clock: unlike the monotonic clock it
/// counts the time in which the machine was suspended, so that leases and heartbeats of that time end.
#[derive(Debug)]
pub struct MonotonicClock {
    origin: Duration,
}

impl MonotonicClock {
    /// A clock whose origin is the present moment.
    pub fn new() -> Self {
        Self {
            origin: boot_time(),
        }
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Millis {
        let passed = boot_time().saturating_sub(self.origin);
        Millis(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since the machine was started, with its suspensions.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
