//! The store's side of its calls.

use waxwing_types::Millis;

use super::{Cluster, Event, STORE_DOMAIN, Waiting};

/// Objects in an answer, so few that most lists take several pages.
const STORE_PAGE: usize = 2;

impl Cluster {
    pub(super) fn on_store_call(&mut self, waiting: Waiting) {
        if self.is_partitioned(self.nodes[waiting.node].domain, STORE_DOMAIN) {
            return;
        }
        self.store_reads += 1;
        if waiting.wait == Millis(0) || self.store.revision > waiting.after {
            self.answer(&waiting, waiting.sent);
            return;
        }
        let (call, wait) = (waiting.call, waiting.wait);
        self.schedule(wait, waiting.node, Event::StoreWaited { call });
        self.waiting.insert(call, waiting);
    }

    pub(super) fn answer(&mut self, waiting: &Waiting, as_of: Millis) {
        let node = &self.nodes[waiting.node];
        if !node.calls.contains(&waiting.call) || self.is_partitioned(node.domain, STORE_DOMAIN) {
            return;
        }
        let mut records = self.store.changes_after(waiting.after);
        let more = records.len() > STORE_PAGE;
        records.truncate(STORE_PAGE);
        let last = records.last().filter(|_| more).map(|r| r.version);
        let event = Event::StoreReply {
            call: waiting.call,
            as_of,
            after: waiting.after,
            reached: last.unwrap_or(self.store.revision),
            more,
            records,
        };
        self.schedule(Millis(2), waiting.node, event);
    }
}
