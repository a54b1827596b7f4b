//! What a VM knows of another VM.

use waxwing_records::VmEntry;
use waxwing_types::{Incarnation, Millis};

/// Time without a heartbeat after which a VM no longer counts as live. Heartbeats are sent every second, and
/// some may be lost. Callers may be given the address of a dead VM for at most 7 s.
const HEARTBEAT_TIMEOUT: Millis = Millis(3500);
/// Time after the registration of a VM for which the VM counts as live without a heartbeat.
const REGISTRATION_GRACE: Millis = Millis(2500);
/// Time for which a VM stays known without its entry after a restore of the store. All VMs write lost entries again as soon
/// as they learn of the restore.
const MISSING_ENTRY_TIME: Millis = Millis::from_secs(8);

/// A registered VM, and what this VM knows about its state.
pub(super) struct Vm {
    pub(super) entry: VmEntry,
    /// When the VM registered or its entry last changed. `None` if its entry was first read in a copy from which the store was
    /// restored: the VM may have ended.
    pub(super) registered_at: Option<Millis>,
    /// When its present process was first noticed, by its entry or by a heartbeat.
    pub(super) noticed_at: Millis,
    /// Since when its entry is missing because the store was restored from an older copy.
    pub(super) missing_since: Option<Millis>,
    pub(super) last_heartbeat: Option<Millis>,
    /// Whether the VM accepts requests of callers, as stated by its last heartbeat. True from a registration
    /// until the next heartbeat.
    pub(super) ready: bool,
    /// Whether a heartbeat of the present process has stated that the VM accepts requests. If it does not any more, it is
    /// stopping.
    pub(super) was_ready: bool,
}

impl Vm {
    pub(super) fn new(entry: VmEntry, noticed_at: Millis, registered_at: Option<Millis>) -> Self {
        Self {
            entry,
            registered_at,
            noticed_at,
            missing_since: None,
            last_heartbeat: None,
            ready: true,
            was_ready: false,
        }
    }

    /// Records that a process of the VM was noticed, which may be a later one than the known process.
    pub(super) fn notice(&mut self, now: Millis, incarnation: Incarnation) {
        if incarnation > self.entry.incarnation {
            self.noticed_at = now;
        }
    }

    /// Whether the VM accepts requests of callers and has registered or sent a heartbeat recently.
    pub(super) fn is_live(&self, now: Millis) -> bool {
        self.ready && self.responds(now)
    }

    /// Whether the VM has registered or sent a heartbeat recently.
    pub(super) fn responds(&self, now: Millis) -> bool {
        self.sends_heartbeats(now) || self.registered_recently(now)
    }

    /// Whether the VM has sent a heartbeat recently.
    pub(super) fn sends_heartbeats(&self, now: Millis) -> bool {
        self.last_heartbeat
            .is_some_and(|last| now.since(last) < HEARTBEAT_TIMEOUT)
    }

    fn registered_recently(&self, now: Millis) -> bool {
        self.registered_at
            .is_some_and(|registered_at| now.since(registered_at) < REGISTRATION_GRACE)
    }

    /// Whether the VM stays known although its entry is missing.
    pub(super) fn is_kept(&self, now: Millis) -> bool {
        self.missing_since
            .is_none_or(|since| now.since(since) < MISSING_ENTRY_TIME || self.sends_heartbeats(now))
    }
}
