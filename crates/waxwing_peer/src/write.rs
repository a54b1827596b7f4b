//! Messages to their generated types.

use waxwing_core::{
    BorrowReply, BorrowRequest, Grant, LimitKey, PullReply, PullRequest, RenewReply, RenewRequest,
    ShardEpoch,
};

use crate::peer_capnp as wire;

/// The length of a list. No list comes near the limit of 2^29 elements.
fn count<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

pub(crate) fn pull_request(mut b: wire::pull_request::Builder<'_>, message: &PullRequest) {
    b.set_from(message.from.as_str());
    b.set_incarnation(message.incarnation.0);
    b.set_domain(message.domain.as_str());
    b.set_after(message.after.0);
    b.set_stopping(message.stopping);
}

pub(crate) fn pull_reply(mut b: wire::pull_reply::Builder<'_>, message: &PullReply) {
    b.set_from(message.from.as_str());
    b.set_incarnation(message.incarnation.0);
    b.set_revision(message.revision.0);
    b.set_age(message.age.0);
    b.set_more(message.more);
    b.set_stopping(message.stopping);
    let mut records = b.reborrow().init_records(count(&message.records));
    for (i, record) in (0..).zip(&message.records) {
        let mut r = records.reborrow().get(i);
        r.set_path(record.path.as_str());
        r.set_version(record.version.0);
        r.set_value(&record.value);
    }
    let mut quarantined = b.init_quarantined(count(&message.quarantined));
    for (i, fingerprint) in (0..).zip(&message.quarantined) {
        quarantined.set(i, fingerprint.0);
    }
}

pub(crate) fn borrow_request(mut b: wire::borrow_request::Builder<'_>, message: &BorrowRequest) {
    b.set_from(message.from.as_str());
    b.set_incarnation(message.incarnation.0);
    b.set_domain(message.domain.as_str());
    let mut asks = b.init_asks(count(&message.limits));
    for (i, ask) in (0..).zip(&message.limits) {
        let mut a = asks.reborrow().get(i);
        a.set_rate(ask.rate.0);
        a.set_burst(ask.burst.0);
        a.set_tokens(ask.tokens.0);
        a.set_in_force(ask.current_grant_seq);
        limit_key(a.init_key(), &ask.key);
    }
}

/// Writes the grants of limits that were asked for.
pub(crate) fn borrow_reply(
    b: wire::borrow_reply::Builder<'_>,
    message: &BorrowReply,
    request: &BorrowRequest,
) {
    let place = |g: &Grant| request.limits.iter().position(|a| a.key == g.key);
    let grants = message.grants.iter();
    let placed: Vec<_> = grants.filter_map(|g| Some((place(g)?, g))).collect();
    let mut grants = b.init_grants(count(&placed));
    for (i, (place, grant)) in (0..).zip(placed) {
        let mut g = grants.reborrow().get(i);
        g.set_ask(u32::try_from(place).unwrap_or(u32::MAX));
        g.set_seq(grant.seq);
        g.set_rate(grant.rate.0);
        g.set_burst(grant.burst.0);
        g.set_tokens(grant.tokens.0);
        // A longer term than the wire holds, 49 days, is cut short, which is safe.
        g.set_term(u32::try_from(grant.term.0).unwrap_or(u32::MAX));
    }
}

fn limit_key(mut b: wire::limit_key::Builder<'_>, key: &LimitKey) {
    match key {
        LimitKey::Workspace(name) => b.set_workspace(name.as_str()),
        LimitKey::Shift(name) => b.set_shift(name.as_str()),
        LimitKey::Link { from, to } => {
            let mut link = b.init_link();
            link.set_from(from.as_str());
            link.set_to(to.as_str());
        }
        LimitKey::Region(name) => b.set_region(name.as_str()),
    }
}

pub(crate) fn renew_request(mut b: wire::renew_request::Builder<'_>, message: &RenewRequest) {
    b.set_from(message.from.as_str());
    b.set_incarnation(message.incarnation.0);
    shards(b.init_shards(count(&message.shards)), &message.shards);
}

pub(crate) fn renew_reply(b: wire::renew_reply::Builder<'_>, message: &RenewReply) {
    shards(b.init_acked(count(&message.acked)), &message.acked);
}

fn shards(
    mut list: capnp::struct_list::Builder<'_, wire::shard_epoch::Owned>,
    shards: &[ShardEpoch],
) {
    for (i, shard) in (0..).zip(shards) {
        let mut s = list.reborrow().get(i);
        s.set_shard(shard.shard.0);
        s.set_epoch(shard.epoch);
    }
}
