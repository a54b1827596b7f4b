//! The store's side of the calls from VMs.

use waxwing_types::Millis;

use super::{Cluster, Event, STORE_DOMAIN, StoreCall};

/// Maximum number of records in a reply. The number is low, so that most lists of changes take
/// several pages.
const STORE_PAGE_RECORDS: usize = 2;

impl Cluster {
    /// Answers a call that arrives at the store, or keeps the call until there are changes or its
    /// wait time is over.
    pub(super) fn on_store_call(&mut self, store_call: StoreCall) {
        if self.is_partitioned(self.nodes[store_call.node].domain, STORE_DOMAIN) {
            return;
        }
        self.store_reads += 1;
        if store_call.wait == Millis(0) || self.store.revision > store_call.after {
            self.answer_store_call(&store_call, store_call.sent);
            return;
        }
        let (call_id, wait) = (store_call.call_id, store_call.wait);
        self.schedule_event(wait, store_call.node, Event::StoreWaitOver { call_id });
        self.waiting_calls.insert(call_id, store_call);
    }

    /// Sends the reply to a call, unless the caller no longer waits for the reply or cannot be
    /// reached. The reply shows the store's state at `as_of`, on the caller's clock, or later.
    pub(super) fn answer_store_call(&mut self, store_call: &StoreCall, as_of: Millis) {
        let node = &self.nodes[store_call.node];
        if !node.open_calls.contains(&store_call.call_id)
            || self.is_partitioned(node.domain, STORE_DOMAIN)
        {
            return;
        }
        let mut records = self.store.changes_after(store_call.after);
        let more = records.len() > STORE_PAGE_RECORDS;
        records.truncate(STORE_PAGE_RECORDS);
        let last_version = records.last().filter(|_| more).map(|r| r.version);
        let event = Event::StoreReply {
            call_id: store_call.call_id,
            as_of,
            after: store_call.after,
            reached: last_version.unwrap_or(self.store.revision),
            more,
            records,
        };
        self.schedule_event(Millis(2), store_call.node, event);
    }
}
