//! What targets say of themselves in their responses, and for how long that is remembered.
//!
//! Answers a fault of the registry: an entry may say that a target is ready, or may be listed again, although the target
//! has said that it is leaving. Also answers the load of a target in trouble: it asks for a pause, and gets further
//! requests, above all retries.

use std::collections::BTreeMap;

use waxwing_types::{Incarnation, Millis, ServiceId, TargetId, common_derives};

use super::pause::PauseRequest;
use super::{ENTRY_LAG, SelectedTarget, TargetPool};

/// Time for which a notice is remembered after its target was removed. An entry of a process that has left may be listed
/// again for some seconds: in a list that is old, or after an outage of the store. A process that is leaving ends seconds
/// after its notice.
const MEMORY_TIME: Millis = Millis::from_secs(600);
/// Maximum number of processes of removed targets whose notices are remembered. The largest known deployment has fewer targets.
const MAX_REMEMBERED: usize = 4096;
/// Added to a pause, because its start is rounded down to a millisecond.
const CLOCK_RESOLUTION: Millis = Millis(1);

common_derives! {
    copy
    /// What a target says of itself in the head of a response.
    #[derive(Default)]
    pub struct TargetNotice {
        /// Whether the target is leaving.
        pub leaving: bool,
        /// The pause for which the target asks.
        pub pause: Option<PauseRequest>,
    }
}

common_derives! {
    key
    /// The kinds of notices, as a metric label.
    pub enum NoticeKind {
        /// The target is leaving.
        Leaving,
        /// The target asks for a pause.
        Pause,
        /// The target asks for a pause that is longer than the longest one that is granted.
        PauseCut,
        /// The length of the pause cannot be read.
        PauseUnusable,
    }
}

common_derives! {
    copy
    /// How a notice changed what is known of a target.
    #[derive(Default)]
    pub struct NoticeChange {
        /// Whether this is the first notice that the target is leaving.
        pub began_leaving: bool,
        /// Length of the pause, if the target was not in a pause.
        pub began_pause: Option<Millis>,
        /// Whether this is the first value of the process that cannot be used as it is.
        pub first_odd_value: bool,
    }
}

common_derives! {
    /// A target that gets no requests because of its notices.
    pub struct NoticedTarget {
        /// Id of the target.
        pub id: TargetId,
        /// The process of the target.
        pub incarnation: Incarnation,
        /// Service of the target.
        pub service: ServiceId,
        /// Whether the target said that it is leaving.
        pub leaving: bool,
        /// Time until the end of the pause for which the target asked, zero without one.
        pub pause_left: Millis,
        /// Whether the entry of the target says so as well.
        pub entry_drains: bool,
    }
}

impl NoticeKind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[
        Self::Leaving,
        Self::Pause,
        Self::PauseCut,
        Self::PauseUnusable,
    ];

    /// The kind as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Pause => "pause",
            Self::PauseCut => "pause_cut",
            Self::PauseUnusable => "pause_unusable",
        }
    }
}

impl TargetNotice {
    /// The kinds of which the notice is.
    pub fn kinds(self) -> impl Iterator<Item = NoticeKind> {
        let pause = self.pause.map(|pause| match pause {
            PauseRequest::Unusable => NoticeKind::PauseUnusable,
            PauseRequest::For(_) => NoticeKind::Pause,
            PauseRequest::TooLong => NoticeKind::PauseCut,
        });
        let leaving = self.leaving.then_some(NoticeKind::Leaving);
        leaving.into_iter().chain(pause)
    }
}

/// What the notices of one process of a target say together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeState {
    pub(super) leaving: bool,
    pub(super) paused_from: Millis,
    pub(super) paused_until: Millis,
    /// Whether the process sent a value that cannot be used as it is.
    has_odd_value: bool,
}

impl NoticeState {
    /// Whether the target may get requests.
    pub(crate) fn allows_requests(self, now: Millis) -> bool {
        !self.leaving && !self.is_paused(now)
    }

    pub(super) fn is_paused(self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Time from which on the state says nothing about a target that was removed at `now`.
    fn expires_at(self, now: Millis) -> Millis {
        let leaving_until = if self.leaving { now + MEMORY_TIME } else { now };
        leaving_until.max(self.paused_until)
    }

    fn apply(&mut self, now: Millis, notice: TargetNotice) -> NoticeChange {
        let mut change = NoticeChange {
            began_leaving: notice.leaving && !self.leaving,
            ..NoticeChange::default()
        };
        self.leaving |= notice.leaving;
        let Some(pause) = notice.pause else {
            return change;
        };
        if pause.is_odd() {
            change.first_odd_value = !self.has_odd_value;
            self.has_odd_value = true;
        }
        let length = pause.length();
        if length > Millis::ZERO {
            if !self.is_paused(now) {
                change.began_pause = Some(length);
                self.paused_from = now;
            }
            // The target may have asked for a longer pause before.
            self.paused_until = self.paused_until.max(now + length + CLOCK_RESOLUTION);
        }
        change
    }

    pub(super) fn merge(&mut self, other: Self) {
        self.leaving |= other.leaving;
        self.has_odd_value |= other.has_odd_value;
        if other.paused_until > self.paused_until {
            self.paused_from = other.paused_from;
            self.paused_until = other.paused_until;
        }
    }
}

/// The notices of a process whose target was removed.
struct RememberedNotices {
    state: NoticeState,
    expires_at: Millis,
}

/// The notices of targets that were removed. Their entries may be listed again.
#[derive(Default)]
pub(crate) struct NoticeMemory {
    processes: BTreeMap<(TargetId, Incarnation), RememberedNotices>,
}

impl NoticeMemory {
    /// What a process of a target, or a later process under the same id, said before its target was removed. A later
    /// process says nothing about an earlier one, but its start ended that one.
    pub(crate) fn recall(
        &self,
        now: Millis,
        id: &TargetId,
        incarnation: Incarnation,
    ) -> NoticeState {
        let processes = (id.clone(), incarnation)..=(id.clone(), Incarnation(u64::MAX));
        let remembered = self.processes.range(processes);
        let mut state = NoticeState::default();
        for (_, remembered) in remembered.filter(|(_, r)| now < r.expires_at) {
            state.merge(remembered.state);
        }
        state
    }

    /// Remembers the notices of a process whose target is removed.
    pub(crate) fn remember(
        &mut self,
        now: Millis,
        id: &TargetId,
        incarnation: Incarnation,
        mut state: NoticeState,
    ) {
        if state.allows_requests(now) {
            return;
        }
        let process = (id.clone(), incarnation);
        match self.processes.get(&process) {
            Some(known) => state.merge(known.state),
            None => self.make_room(now),
        }
        let remembered = RememberedNotices {
            state,
            expires_at: state.expires_at(now),
        };
        self.processes.insert(process, remembered);
    }

    /// Drops what has expired if the memory is full, and otherwise what expires first.
    fn make_room(&mut self, now: Millis) {
        if self.processes.len() < MAX_REMEMBERED {
            return;
        }
        self.processes.retain(|_, r| now < r.expires_at);
        if self.processes.len() >= MAX_REMEMBERED {
            let first = self.processes.iter().min_by_key(|(_, r)| r.expires_at);
            if let Some(process) = first.map(|(process, _)| process.clone()) {
                self.processes.remove(&process);
            }
        }
    }
}

/// Queries.
impl TargetPool {
    /// Whether a process of a target is registered as ready and has not said that it is leaving.
    pub fn is_in_service(&self, id: &TargetId, incarnation: Incarnation) -> bool {
        let key = self.keys_by_id.get(id);
        let target = key.and_then(|key| self.targets.get(*key));
        target.is_some_and(|target| {
            target.registration.incarnation == incarnation
                && target.is_ready()
                && !target.notices.leaving
        })
    }

    /// The targets that get no requests because of their notices.
    pub fn noticed_targets(&self, now: Millis) -> Vec<NoticedTarget> {
        let noticed = self
            .targets
            .values()
            .filter(|t| !t.notices.allows_requests(now));
        let mut noticed: Vec<_> = noticed
            .map(|target| NoticedTarget {
                id: target.registration.id.clone(),
                incarnation: target.registration.incarnation,
                service: target.registration.service.clone(),
                leaving: target.notices.leaving,
                pause_left: target.notices.paused_until.since(now),
                entry_drains: !target.is_ready(),
            })
            .collect();
        noticed.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        noticed
    }

    /// Whether a process that was selected for a request has said since that it wants no requests.
    pub fn is_withdrawn(&self, now: Millis, selected: &SelectedTarget) -> bool {
        let key = self.keys_by_id.get(&selected.id);
        let target = key.and_then(|key| self.targets.get(*key));
        let target = target.filter(|t| t.registration.incarnation == selected.incarnation);
        let notices = target.map_or_else(
            || {
                self.notice_memory
                    .recall(now, &selected.id, selected.incarnation)
            },
            |target| target.notices,
        );
        !notices.allows_requests(now)
    }
}

/// Commands.
impl TargetPool {
    /// Remembers a pause for which a process asked on a connection of this age. If the connection is young and the entry of a later
    /// process is read soon, it may have been that process. To be called beside [`Self::on_notice`].
    pub fn on_unidentified_pause(
        &mut self,
        now: Millis,
        selected: &SelectedTarget,
        pause: PauseRequest,
        connection_age: Millis,
    ) {
        if connection_age >= ENTRY_LAG {
            return;
        }
        let key = self.keys_by_id.get(&selected.id);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key))
            && target.registration.incarnation == selected.incarnation
        {
            let notice = TargetNotice {
                leaving: false,
                pause: Some(pause),
            };
            target.unidentified_notices.apply(now, notice);
        }
    }

    /// Applies what the process that was selected for a request said in its response. The target may have been removed
    /// since, or a later process may have replaced it.
    pub fn on_notice(
        &mut self,
        now: Millis,
        selected: &SelectedTarget,
        notice: TargetNotice,
    ) -> NoticeChange {
        let (id, incarnation) = (&selected.id, selected.incarnation);
        let key = self.keys_by_id.get(id);
        if let Some(target) = key.and_then(|key| self.targets.get_mut(*key))
            && target.registration.incarnation == incarnation
        {
            return target.notices.apply(now, notice);
        }
        let mut state = self.notice_memory.recall(now, id, incarnation);
        let change = state.apply(now, notice);
        self.notice_memory.remember(now, id, incarnation, state);
        change
    }
}
