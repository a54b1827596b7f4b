//! The value of an idempotency record.

use waxwing_types::common_derives;

common_derives! {
    copy
    /// What a record says of the request.
    pub enum ClaimState {
        /// An attempt owns the record and may be running.
        InFlight,
        /// The request was answered with this status.
        Answered(u16),
        /// Nothing was sent; a later attempt may claim the record again.
        Released,
        /// The request may have run.
        Unknown,
    }
}

common_derives! {
    copy
    /// A record: its state and the token of the attempt that wrote it.
    ///
    /// The value is one line of text: `in_flight TOKEN`, `answered STATUS TOKEN`,
    /// `released TOKEN` or `unknown TOKEN`, the token as 32 hexadecimal digits. The daemon appends
    /// `created=SECONDS` (since 1970) for `waxwingctl sweep`, which no decision here depends on.
    pub struct ClaimRecord {
        /// State of the request.
        pub state: ClaimState,
        /// Token of the attempt. `None` if the value cannot be read.
        pub token: Option<u128>,
    }
}

impl ClaimRecord {
    /// Reads a value. A tombstone reads as released; an unreadable value reads as unknown, which
    /// lets no run through.
    pub fn parse(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).unwrap_or_default();
        if is_tombstone(text) {
            return Self {
                state: ClaimState::Released,
                token: None,
            };
        }
        read(text).unwrap_or(Self {
            state: ClaimState::Unknown,
            token: None,
        })
    }

    /// The value as the store holds it.
    pub fn to_bytes(self) -> Vec<u8> {
        let token = self.token.unwrap_or_default();
        match self.state {
            ClaimState::InFlight => format!("in_flight {token:032x}"),
            ClaimState::Answered(status) => format!("answered {status} {token:032x}"),
            ClaimState::Released => format!("released {token:032x}"),
            ClaimState::Unknown => format!("unknown {token:032x}"),
        }
        .into_bytes()
    }
}

/// A deleted record is kept as a JSON object with `"withdrawn": true`.
fn is_tombstone(text: &str) -> bool {
    let compact: String = text.chars().filter(|c| !c.is_whitespace()).collect();
    compact.starts_with('{') && compact.contains("\"withdrawn\":true")
}

fn read(text: &str) -> Option<ClaimRecord> {
    let mut words = text.split(' ');
    let state = match words.next()? {
        "in_flight" => ClaimState::InFlight,
        "answered" => ClaimState::Answered(words.next()?.parse().ok()?),
        "released" => ClaimState::Released,
        "unknown" => ClaimState::Unknown,
        _ => return None,
    };
    let token = u128::from_str_radix(words.next()?, 16).ok()?;
    let created = words.next().map(|word| word.starts_with("created="));
    (created != Some(false) && words.next().is_none()).then_some(ClaimRecord {
        state,
        token: Some(token),
    })
}
