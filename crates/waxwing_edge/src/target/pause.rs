//! Pauses that targets ask for with `Retry-After`, and what follows if no other target is left.
//!
//! Answers the load of a service of which all targets ask for a pause: its callers are refused at once, and told when to
//! come back.

use waxwing_types::{Millis, RegionId, ServiceId, common_derives};

use super::{TargetKey, TargetPool};

/// Longest pause that is granted. A target that asks for longer is tried again after this time, so that a wrong value does
/// not keep a process out of use for good. It is above the length of planned maintenance.
const MAX_PAUSE: Millis = Millis::from_secs(3600);
/// Digits of a number of seconds that is surely longer than [`MAX_PAUSE`].
const TOO_MANY_DIGITS: usize = 8;

common_derives! {
    key
    /// The value of `Retry-After` with which a target turned a request away. The order is that of the lengths.
    pub enum PauseRequest {
        /// The value is not a number of seconds, with or without a fraction. It asks for no pause.
        Unusable,
        /// The length of the pause.
        For(Millis),
        /// The pause would be longer than the longest one that is granted, and is cut to that.
        TooLong,
    }
}

common_derives! {
    copy
    /// The time in which no target of a service may get a request, because targets asked for a pause.
    pub struct Pause {
        /// Time until the first of the targets may get requests.
        pub left: Millis,
        /// Time from the start of that target's pause to its end.
        pub length: Millis,
    }
}

impl PauseRequest {
    /// Reads the value of `Retry-After`: seconds, with or without a fraction. Dates are not read, because a step of the
    /// clock would change the length of the pause.
    pub fn parse(text: &[u8]) -> Self {
        let text = text.trim_ascii();
        let point = text.iter().position(|byte| *byte == b'.');
        let (whole, fraction) = text.split_at(point.unwrap_or(text.len()));
        let fraction = fraction.strip_prefix(b".").unwrap_or_default();
        let is_number = whole.iter().chain(fraction).all(u8::is_ascii_digit);
        if !is_number || whole.len() + fraction.len() == 0 {
            return Self::Unusable;
        }
        let zeros = whole.iter().take_while(|digit| **digit == b'0').count();
        let whole = &whole[zeros..];
        if whole.len() >= TOO_MANY_DIGITS {
            return Self::TooLong;
        }
        let secs = whole
            .iter()
            .fold(0, |secs, digit| secs * 10 + value(*digit));
        match Millis::from_secs(secs) + fraction_millis(fraction) {
            length if length > MAX_PAUSE => Self::TooLong,
            length => Self::For(length),
        }
    }

    /// Length of the pause that is granted.
    pub(super) fn length(self) -> Millis {
        match self {
            Self::Unusable => Millis::ZERO,
            Self::For(length) => length,
            Self::TooLong => MAX_PAUSE,
        }
    }

    /// Whether the value cannot be used as it is.
    pub(super) fn is_odd(self) -> bool {
        match self {
            Self::Unusable | Self::TooLong => true,
            Self::For(_) => false,
        }
    }
}

/// The value of a decimal digit.
fn value(digit: u8) -> u64 {
    u64::from(digit - b'0')
}

/// The milliseconds of the decimal digits after the point, rounded up.
fn fraction_millis(digits: &[u8]) -> Millis {
    let thousandths = digits.iter().copied().chain([b'0'; 3]).take(3);
    let millis = thousandths.fold(0, |millis, digit| millis * 10 + value(digit));
    let has_rest = digits.iter().skip(3).any(|digit| *digit != b'0');
    Millis(millis + u64::from(has_rest))
}

/// Queries.
impl TargetPool {
    /// The pause of the service in the allowed regions: at least one of its targets is in a pause, and each of them is in a
    /// pause, is ejected, has left, or is evacuated. `None` if a target may get a request now.
    pub fn pause(
        &self,
        now: Millis,
        service: &ServiceId,
        region_allowed: &dyn Fn(&RegionId) -> bool,
    ) -> Option<Pause> {
        let keys = &self.services.get(service)?.keys;
        let targets = keys
            .iter()
            .filter_map(|key: &TargetKey| self.targets.get(*key));
        let targets: Vec<_> = targets
            .filter(|t| t.is_ready() && !t.notices.leaving && !self.is_evacuated(t))
            // Another process uses the address of a target that is ejected for good.
            .filter(|t| t.ejected_until < Millis::MAX)
            .filter(|t| region_allowed(&t.region))
            .collect();
        if !targets.iter().any(|t| t.notices.is_paused(now)) {
            return None;
        }
        let first = targets
            .iter()
            .min_by_key(|t| t.notices.paused_until.max(t.ejected_until))?;
        let usable_from = first.notices.paused_until.max(first.ejected_until);
        let left = usable_from.since(now);
        let length = if first.notices.is_paused(now) {
            usable_from.since(first.notices.paused_from)
        } else {
            left
        };
        (left > Millis::ZERO).then_some(Pause { left, length })
    }
}
