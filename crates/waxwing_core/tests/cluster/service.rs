//! The store's side of its calls.

use waxwing_types::Millis;

use super::{Cluster, Event, STORE, Waiting};

impl Cluster {
    pub(super) fn on_store_call(&mut self, waiting: Waiting) {
        if self.is_cut(self.nodes[waiting.node].domain, STORE) {
            return;
        }
        self.reads += 1;
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
        if !node.calls.contains(&waiting.call) || self.is_cut(node.domain, STORE) {
            return;
        }
        let event = Event::StoreReply {
            call: waiting.call,
            as_of,
            after: waiting.after,
            reached: self.store.revision,
            records: self.store.changes(waiting.after),
        };
        self.schedule(Millis(2), waiting.node, event);
    }
}
