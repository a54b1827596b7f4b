//! The events of the simulation and their order.

use std::cmp::Ordering;

use waxwing_core::{FlowAction, FlowEvent};
use waxwing_types::Millis;

use super::ledger::Message;
use super::vm::Link;

/// What happens at a point in time.
#[derive(Debug)]
pub(super) enum Event {
    Arrival(usize),
    Enter {
        root: usize,
        vm: usize,
    },
    Unreached {
        root: usize,
        vm: usize,
    },
    GiveUp {
        root: usize,
        vm: usize,
    },
    Flow {
        at: Link,
        call: Option<u64>,
        attempt: bool,
        event: FlowEvent,
    },
    Timer {
        at: Link,
        time: Millis,
    },
    Effect {
        at: Link,
        call: u64,
        action: FlowAction,
    },
    Reach {
        at: Link,
        service: usize,
        target: usize,
        root: usize,
    },
    RunEnd {
        at: Link,
        service: usize,
        target: usize,
    },
    CancelRun {
        at: Link,
        service: usize,
        target: usize,
    },
    Restart {
        service: usize,
        target: usize,
    },
    Tick(u64),
    EarlyTick(usize),
    Message {
        from: usize,
        vm: usize,
        process: Option<u64>,
        message: Message,
    },
    Owners {
        vm: usize,
        process: u64,
        sent: Millis,
        write: Option<(Vec<u8>, Option<u64>)>,
    },
    Adopt {
        vm: usize,
    },
}

/// An event with its time and its number, which orders events of the same time.
pub(super) struct Due(pub(super) u64, pub(super) u64, pub(super) Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest, since the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}
