//! The store's side of the calls from VMs.

use waxwing_types::Millis;

use super::{Cluster, Event, STORE_DOMAIN, StoreCall};

/// Most records in a reply. It is low so that most lists take several pages.
const STORE_PAGE_RECORDS: usize = 2;

impl Cluster {
    /// Answers a call that arrives at the store, or keeps it until there are changes.
    pub(super) fn on_store_call(&mut self, store_call: StoreCall) {
        if self.is_partitioned(self.nodes[store_call.node].domain, STORE_DOMAIN) {
            return;
        }
        self.store_reads += 1;
        if store_call.wait == Millis(0) || self.store.revision > store_call.after {
            self.answer_store_call(&store_call, store_call.sent);
            return;
        }
        let (call, wait) = (store_call.call, store_call.wait);
        self.schedule_event(wait, store_call.node, Event::StoreWaitOver { call });
        self.waiting_calls.insert(call, store_call);
    }

    /// Sends the reply to a call, unless the caller no longer waits for it or cannot be reached.
    pub(super) fn answer_store_call(&mut self, store_call: &StoreCall, as_of: Millis) {
        let node = &self.nodes[store_call.node];
        if !node.open_calls.contains(&store_call.call)
            || self.is_partitioned(node.domain, STORE_DOMAIN)
        {
            return;
        }
        let mut records = self.store.changes_after(store_call.after);
        let more = records.len() > STORE_PAGE_RECORDS;
        records.truncate(STORE_PAGE_RECORDS);
        let last_version = records.last().filter(|_| more).map(|r| r.version);
        let event = Event::StoreReply {
            call: store_call.call,
            as_of,
            after: store_call.after,
            reached: last_version.unwrap_or(self.store.revision),
            more,
            records,
        };
        self.schedule_event(Millis(2), store_call.node, event);
    }
}
