//! Requests that crashed the targets which ran them.

use std::collections::HashMap;

use slotmap::Key as _;
use waxwing_types::Millis;

use crate::TargetKey;

/// Crashes after which a request is refused: the rules allow three.
const CRASHES: usize = 2;
/// Time between the break of a connection and the sign that its target is down.
const LINK_TIME: Millis = Millis(1500);
/// Time for which a request is refused: longer than a caller goes on repeating it.
const LIFETIME: Millis = Millis::from_secs(60);
/// Breaks remembered; at most this many wait for a sign at once.
const MAX_BREAKS: usize = 512;

struct Break {
    print: u64,
    target: u64,
    at: Millis,
}

#[derive(Default)]
struct Suspect {
    crashes: usize,
    at: Millis,
}

/// The fingerprints of such requests.
#[derive(Default)]
pub struct Quarantine {
    breaks: Vec<Break>,
    suspects: HashMap<u64, Suspect>,
}

/// Queries.
impl Quarantine {
    /// Whether a request is refused.
    pub fn contains(&self, now: Millis, print: u64) -> bool {
        let suspect = self.suspects.get(&print);
        suspect.is_some_and(|s| s.crashes >= CRASHES && now.since(s.at) < LIFETIME)
    }
}

/// Commands.
impl Quarantine {
    /// Notes that the connection of a running request broke.
    pub fn on_connection_broken(&mut self, now: Millis, print: u64, target: TargetKey) {
        self.breaks.retain(|b| now.since(b.at) < LINK_TIME);
        if self.breaks.len() < MAX_BREAKS {
            self.breaks.push(Break {
                print,
                target: target.data().as_ffi(),
                at: now,
            });
        }
    }

    /// Notes that a target is down, and returns the requests that were running at its crash.
    pub fn on_target_down(&mut self, now: Millis, target: TargetKey) -> Vec<u64> {
        let target = target.data().as_ffi();
        let mut crashed = Vec::new();
        self.breaks.retain(|b| {
            let counts = b.target == target && now.since(b.at) < LINK_TIME;
            if counts {
                crashed.push(b.print);
            }
            !counts && now.since(b.at) < LINK_TIME
        });
        for print in &crashed {
            self.on_target_crash(now, *print);
        }
        crashed
    }

    /// Notes that a request was running at the crash of a target, here or at another VM.
    pub fn on_target_crash(&mut self, now: Millis, print: u64) {
        self.suspects.retain(|_, s| now.since(s.at) < LIFETIME);
        let suspect = self.suspects.entry(print).or_default();
        suspect.crashes += 1;
        suspect.at = now;
    }
}
