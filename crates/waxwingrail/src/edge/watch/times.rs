//! The times of one watch: its wait, its time-out, and as of when its answer holds.

use waxwing_types::Millis;

use super::super::settings::EdgeSettings;
use super::super::state_age::MAX_ANSWER_TIME;
use super::super::watch_progress::WatchMode;

/// Maximum wait of a watch. The platform does not accept a longer one.
const MAX_WATCH_WAIT: Millis = Millis::from_secs(30);
/// Margin between the longest watch and `store_history`, the time for which the store keeps changes. If the store
/// has dropped the changes that the next watch needs, the family must be listed again, an additional call.
const HISTORY_MARGIN: Millis = Millis::from_secs(2);
/// Minimum wait of a watch of the latest state: changes that follow each other closely are read with one call.
const MIN_WATCH_WAIT: Millis = Millis(50);

/// Wait of the next watch of a family, and the time after its end within which the store must answer.
///
/// A watch that meets a silence of the store may stay without an answer for good, on a connection that looks healthy. Only
/// the end of its wait shows that. A watch of the latest state therefore waits no longer than `confirm_wait`, the time within
/// which the store must confirm the state again. A watch of a recent state may wait longer, because store readers report what
/// it lacks.
pub(super) fn watch_times(
    settings: &EdgeSettings,
    mode: WatchMode,
    confirm_wait: Millis,
) -> (Millis, Millis) {
    let longest = (settings.store_history - HISTORY_MARGIN).min(MAX_WATCH_WAIT);
    let timeout = settings.store_timeout;
    match mode {
        WatchMode::CatchUp | WatchMode::Probe => (Millis::ZERO, timeout),
        WatchMode::Recent | WatchMode::Restored | WatchMode::Reported => (longest, timeout),
        WatchMode::Latest => {
            let wait = longest.min(confirm_wait).max(MIN_WATCH_WAIT);
            (wait, timeout.min(MAX_ANSWER_TIME))
        }
    }
}

/// Time up to which an answer of the latest state holds all changes. The store answers at once if there are changes, and at the
/// end of the wait otherwise. The process may have been suspended before it read the answer, so that its receipt shows nothing.
pub(super) fn answered_as_of(
    sent_at: Millis,
    wait: Millis,
    now: Millis,
    has_changes: bool,
) -> Millis {
    let wait_end = sent_at + wait;
    if !has_changes && now >= wait_end {
        wait_end
    } else {
        sent_at
    }
}

/// Time at which a failed watch met the outage, or earlier. A watch that is answered within its wait, by a refusal or a broken
/// connection, shows that the store could not be reached then. Without an answer, the outage may have ended right after the
/// watch was sent.
pub(super) fn outage_met_at(
    settings: &EdgeSettings,
    sent_at: Millis,
    wait: Millis,
    now: Millis,
) -> Millis {
    if now < sent_at + wait {
        sent_at.max(now - settings.connect_timeout)
    } else {
        sent_at
    }
}
