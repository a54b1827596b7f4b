//! How old the state of a family may become before this VM reads the latest state, derived from the limits on the delay of
//! changes.
//!
//! A state has an age: the time since which it is known to hold all changes. A change that the store acknowledges right
//! after that time must be in use within the limit of its family, whatever happens to the VMs that report changes.

use waxwing_store::Family;
use waxwing_types::Millis;

use super::settings::EdgeSettings;
use super::ticks::TICK_PERIOD;

/// Time for a call to the store of another region, on a new connection.
pub(super) const CALL_TIME: Millis = Millis(350);
/// Time from the choice of a target to the arrival of the request at the target in another region, on a new connection.
pub(super) const SEND_TIME: Millis = Millis(200);
/// Time for a datagram to another VM. The age that a report states does not include it.
pub(super) const DATAGRAM_TIME: Millis = Millis(100);
/// Time from the confirmation that a store reader expects to the moment at which the other VMs have received it, if the
/// answer of the store or a report is late.
const REPORT_TIME: Millis = Millis(600);
/// Shortest time between two confirmations, however short the limits are.
const MIN_CONFIRM_PERIOD: Millis = Millis(300);
/// Shortest maximum age, however short the limit on the delay of changes is.
const MIN_MAX_AGE: Millis = Millis(REPORT_TIME.0 + MIN_CONFIRM_PERIOD.0);
/// Maximum age of the entries of VMs. No limit on the delay of changes depends on them: heartbeats show which VMs are live.
const MAX_VMS_AGE: Millis = Millis::from_secs(8);
/// Longest time between two confirmations of the entries of VMs. Until a new VM is known, it gets no callers.
const VMS_CONFIRM_PERIOD: Millis = Millis::from_secs(3);
/// Part of `store_recovery` after the failure of a watch in which its changes reach all VMs: backoff, calls of a slow store,
/// and the time for which other VMs may lack a reported revision.
const RECOVERY_MARGIN: Millis = Millis(1600);
/// Time after the end of its wait within which a watch of the latest state must be answered, also by a slow store.
pub(super) const MAX_ANSWER_TIME: Millis = Millis(1000);

/// The ages of one family.
#[derive(Clone, Copy)]
pub(crate) struct StateAges {
    /// Age at which a VM reads the latest state itself.
    pub(crate) max: Millis,
    /// Age at which a store reader expects its next confirmation.
    pub(crate) confirm: Millis,
}

/// The ages of all families, and the startup in which they do not apply.
#[derive(Clone, Copy)]
pub(crate) struct AgeLimits {
    deployment: StateAges,
    targets: StateAges,
    evacuations: StateAges,
    vms: StateAges,
    /// Time after the start of the process from which the maximum ages apply. The limits on the delay of changes apply
    /// `store_recovery` after the start.
    pub(crate) startup: Millis,
}

impl AgeLimits {
    pub(crate) fn new(settings: &EdgeSettings) -> Self {
        let longest_confirm =
            settings.store_recovery - RECOVERY_MARGIN - settings.store_timeout.min(MAX_ANSWER_TIME);
        let ages = |max_delay: Millis| {
            let max = (max_delay - reaction_time()).max(MIN_MAX_AGE);
            let confirm = (max - REPORT_TIME).min(longest_confirm);
            let confirm = confirm.max(MIN_CONFIRM_PERIOD);
            StateAges { max, confirm }
        };
        Self {
            deployment: ages(settings.max_apply_delay),
            targets: ages(settings.max_drain_delay),
            evacuations: ages(settings.max_evacuation_delay),
            vms: StateAges {
                max: MAX_VMS_AGE,
                confirm: VMS_CONFIRM_PERIOD,
            },
            startup: settings.store_recovery - TICK_PERIOD - CALL_TIME,
        }
    }

    pub(crate) const fn of(&self, family: Family) -> StateAges {
        match family {
            Family::Deployment => self.deployment,
            Family::Targets => self.targets,
            Family::Evacuations => self.evacuations,
            Family::Vms => self.vms,
        }
    }
}

/// Time from the moment at which a state reaches its maximum age to the arrival of the last request that was sent by it: the
/// check, the read of the latest state, the request, and the age that the report did not include.
fn reaction_time() -> Millis {
    TICK_PERIOD + CALL_TIME + SEND_TIME + DATAGRAM_TIME
}

/// Time from the end of a store outage until which this VM may keep targets that left during it: the next tick removes them, and
/// the last request that was sent before arrives when `store_recovery` ends.
pub(super) fn max_removal_delay(settings: &EdgeSettings) -> Millis {
    settings.store_recovery - TICK_PERIOD - SEND_TIME
}

/// Logs limits on the delay of changes that are too short to be kept if a store reader fails.
pub(crate) fn log_short_limits(settings: &EdgeSettings) {
    let shortest = MIN_MAX_AGE + reaction_time();
    let limits = [
        ("--apply-ms", settings.max_apply_delay),
        ("--drain-ms", settings.max_drain_delay),
        ("--evacuate-ms", settings.max_evacuation_delay),
    ];
    for (flag, limit) in limits {
        if limit < shortest {
            log::warn!(
                flag = flag, limit_ms = limit.0, shortest_ms = shortest.0;
                "changes may take longer than this limit while a store reader fails"
            );
        }
    }
}
