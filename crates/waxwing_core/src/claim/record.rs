//! Format of an idempotency record in the store.

use waxwing_types::common_derives;

common_derives! {
    copy
    /// State of a request according to its idempotency record.
    pub enum ClaimState {
        /// The owner of the record may be running the request.
        InFlight,
        /// The request got a response with this status.
        Answered(u16),
        /// The request did not run. Another copy of it may claim the record.
        Released,
        /// The request may have run.
        Unknown,
    }
}

common_derives! {
    copy
    /// Idempotency record: the state of the request and the token of the claim that wrote it.
    ///
    /// The stored value is one line of text: `in_flight TOKEN`, `answered STATUS TOKEN`,
    /// `released TOKEN` or `unknown TOKEN`, with the token as 32 hexadecimal digits. The daemon
    /// appends `created=SECONDS` (Unix time) for `waxwingctl sweep`. Claims ignore this suffix.
    pub struct ClaimRecord {
        /// State of the request.
        pub state: ClaimState,
        /// Token of the claim. `None` if the value cannot be parsed or is a tombstone.
        pub token: Option<u128>,
    }
}

impl ClaimRecord {
    /// Parses a stored value. The tombstone of a deleted record counts as released. A value that
    /// cannot be parsed counts as unknown, because the request may have run and must not run again.
    pub fn parse(value: &[u8]) -> Self {
        let text = std::str::from_utf8(value).unwrap_or_default();
        if is_tombstone(text) {
            return Self {
                state: ClaimState::Released,
                token: None,
            };
        }
        parse_record(text).unwrap_or(Self {
            state: ClaimState::Unknown,
            token: None,
        })
    }

    /// Formats the record as its stored value.
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

/// Whether the value marks a deleted record, which is a JSON object with `"withdrawn": true`.
fn is_tombstone(text: &str) -> bool {
    let compact: String = text.chars().filter(|c| !c.is_whitespace()).collect();
    compact.starts_with('{') && compact.contains("\"withdrawn\":true")
}

/// Parses a value that is not a tombstone. Returns `None` if the value is malformed.
fn parse_record(text: &str) -> Option<ClaimRecord> {
    let mut words = text.split(' ');
    let state = match words.next()? {
        "in_flight" => ClaimState::InFlight,
        "answered" => ClaimState::Answered(words.next()?.parse().ok()?),
        "released" => ClaimState::Released,
        "unknown" => ClaimState::Unknown,
        _ => return None,
    };
    let token = u128::from_str_radix(words.next()?, 16).ok()?;
    let is_created_suffix = words.next().map(|word| word.starts_with("created="));
    (is_created_suffix != Some(false) && words.next().is_none()).then_some(ClaimRecord {
        state,
        token: Some(token),
    })
}
