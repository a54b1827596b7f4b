//! What targets say of themselves in their responses, and for how long that is remembered.
//!
//! Answers a fault of the registry: an entry may say that a target is ready, or may be listed again, although the target
//! has said that it is leaving.

use std::collections::HashMap;

use waxwing_types::{Incarnation, Millis, ServiceId, TargetId, common_derives};

use super::{SelectedTarget, TargetPool};

/// Time for which a notice is remembered after its target was removed. An entry of a process that has left may be listed
/// again for some seconds: in a list that is old, or after an outage of the store. A process that is leaving ends seconds
/// after its notice.
const MEMORY_TIME: Millis = Millis::from_secs(600);
/// Maximum number of removed targets whose notices are remembered. The largest known deployment has fewer targets.
const MAX_REMEMBERED: usize = 4096;

common_derives! {
    copy
    /// What a target says of itself in the head of a response.
    #[derive(Default)]
    pub struct TargetNotice {
        /// Whether the target is leaving.
        pub leaving: bool,
    }
}

common_derives! {
    key
    /// The kinds of notices, as a metric label.
    pub enum NoticeKind {
        /// The target is leaving.
        Leaving,
    }
}

common_derives! {
    copy
    /// How a notice changed what is known of a target.
    #[derive(Default)]
    pub struct NoticeChange {
        /// Whether this is the first notice that the target is leaving.
        pub began_leaving: bool,
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
        /// Whether the entry of the target says so as well.
        pub entry_drains: bool,
    }
}

impl NoticeKind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[Self::Leaving];

    /// The kind as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
        }
    }
}

impl TargetNotice {
    /// The kinds of which the notice is.
    pub fn kinds(self) -> impl Iterator<Item = NoticeKind> {
        self.leaving.then_some(NoticeKind::Leaving).into_iter()
    }
}

/// What the notices of one process of a target say together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoticeState {
    leaving: bool,
}

impl NoticeState {
    /// Whether the target may get requests.
    pub(crate) fn allows_requests(self) -> bool {
        !self.leaving
    }

    fn is_empty(self) -> bool {
        !self.leaving
    }

    fn apply(&mut self, notice: TargetNotice) -> NoticeChange {
        let began_leaving = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        NoticeChange { began_leaving }
    }

    fn merge(&mut self, other: Self) {
        self.leaving |= other.leaving;
    }
}

/// The notices of a process whose target was removed.
struct RememberedNotices {
    incarnation: Incarnation,
    state: NoticeState,
    expires_at: Millis,
}

/// The notices of targets that were removed. Their entries may be listed again.
#[derive(Default)]
pub(crate) struct NoticeMemory {
    targets: HashMap<TargetId, RememberedNotices>,
}

impl NoticeMemory {
    /// What a process of a target, or a later process under the same id, said before its target was removed. A later
    /// process says nothing about itself, but its start ended the earlier one.
    pub(crate) fn recall(
        &self,
        now: Millis,
        id: &TargetId,
        incarnation: Incarnation,
    ) -> NoticeState {
        let remembered = self.targets.get(id);
        let remembered = remembered.filter(|r| r.incarnation >= incarnation && now < r.expires_at);
        remembered.map_or_else(NoticeState::default, |r| r.state)
    }

    /// Remembers the notices of a process whose target is removed.
    pub(crate) fn remember(
        &mut self,
        now: Millis,
        id: &TargetId,
        incarnation: Incarnation,
        mut state: NoticeState,
    ) {
        if state.is_empty() {
            return;
        }
        match self.targets.get(id) {
            Some(known) if known.incarnation > incarnation => return,
            Some(known) if known.incarnation == incarnation => state.merge(known.state),
            Some(_) => {}
            None => self.make_room(now),
        }
        let remembered = RememberedNotices {
            incarnation,
            state,
            expires_at: now + MEMORY_TIME,
        };
        self.targets.insert(id.clone(), remembered);
    }

    /// Drops what has expired if the memory is full, and otherwise what expires first.
    fn make_room(&mut self, now: Millis) {
        if self.targets.len() < MAX_REMEMBERED {
            return;
        }
        self.targets.retain(|_, r| now < r.expires_at);
        if self.targets.len() >= MAX_REMEMBERED {
            let first = self.targets.iter().min_by_key(|(_, r)| r.expires_at);
            if let Some(id) = first.map(|(id, _)| id.clone()) {
                self.targets.remove(&id);
            }
        }
    }
}

/// Queries.
impl TargetPool {
    /// The targets that get no requests because of their notices.
    pub fn noticed_targets(&self) -> Vec<NoticedTarget> {
        let noticed = self
            .targets
            .values()
            .filter(|t| !t.notices.allows_requests());
        let mut noticed: Vec<_> = noticed
            .map(|target| NoticedTarget {
                id: target.registration.id.clone(),
                incarnation: target.registration.incarnation,
                service: target.registration.service.clone(),
                leaving: target.notices.leaving,
                entry_drains: !target.is_ready(),
            })
            .collect();
        noticed.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        noticed
    }
}

/// Commands.
impl TargetPool {
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
            return target.notices.apply(notice);
        }
        let mut state = self.notice_memory.recall(now, id, incarnation);
        let change = state.apply(notice);
        self.notice_memory.remember(now, id, incarnation, state);
        change
    }
}
