//! Messages from their generated types.

use capnp::Result;
use smol_str::SmolStr;
use waxwing_core::{
    BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, LimitRequest, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
use waxwing_types::{
    DomainId, Incarnation, Micros, Millis, RegionId, Revision, ShiftName, VmId, WorkspaceId,
};

use crate::peer_capnp as wire;

fn text(reader: Result<capnp::text::Reader<'_>>) -> Result<SmolStr> {
    Ok(SmolStr::new(reader?.to_str()?))
}

pub(crate) fn pull_request(r: wire::pull_request::Reader<'_>) -> Result<PullRequest> {
    Ok(PullRequest {
        from: VmId(text(r.get_from())?),
        incarnation: Incarnation(r.get_incarnation()),
        domain: DomainId(text(r.get_domain())?),
        after: Revision(r.get_after()),
        stopping: r.get_stopping(),
    })
}

pub(crate) fn pull_reply(r: wire::pull_reply::Reader<'_>) -> Result<PullReply> {
    let records = r.get_records()?.iter().map(record);
    Ok(PullReply {
        from: VmId(text(r.get_from())?),
        incarnation: Incarnation(r.get_incarnation()),
        revision: Revision(r.get_revision()),
        age: Millis(r.get_age()),
        records: records.collect::<Result<_>>()?,
        more: r.get_more(),
        quarantined: r.get_quarantined()?.iter().map(Fingerprint).collect(),
        stopping: r.get_stopping(),
    })
}

fn record(r: wire::record::Reader<'_>) -> Result<VersionedRecord> {
    Ok(VersionedRecord {
        path: text(r.get_path())?,
        version: Revision(r.get_version()),
        value: r.get_value()?.to_vec(),
    })
}

pub(crate) fn borrow_request(r: wire::borrow_request::Reader<'_>) -> Result<BorrowRequest> {
    let asks = r.get_asks()?.iter().map(ask);
    Ok(BorrowRequest {
        from: VmId(text(r.get_from())?),
        incarnation: Incarnation(r.get_incarnation()),
        domain: DomainId(text(r.get_domain())?),
        limits: asks.collect::<Result<_>>()?,
    })
}

fn ask(r: wire::ask::Reader<'_>) -> Result<LimitRequest> {
    Ok(LimitRequest {
        key: limit_key(r.get_key()?)?,
        rate: Micros(r.get_rate()),
        burst: Micros(r.get_burst()),
        tokens: Micros(r.get_tokens()),
        current_grant_seq: r.get_in_force(),
    })
}

pub(crate) fn borrow_reply(
    r: wire::borrow_reply::Reader<'_>,
    request: &BorrowRequest,
) -> Result<BorrowReply> {
    let grants = r.get_grants()?.iter().map(|r| grant(r, request));
    Ok(BorrowReply {
        grants: grants.collect::<Result<_>>()?,
    })
}

fn grant(r: wire::grant::Reader<'_>, request: &BorrowRequest) -> Result<Grant> {
    let place = usize::try_from(r.get_ask()).unwrap_or(usize::MAX);
    let ask = request.limits.get(place);
    let ask = ask.ok_or_else(|| capnp::Error::failed("a grant that was not asked for".into()))?;
    Ok(Grant {
        key: ask.key.clone(),
        seq: r.get_seq(),
        rate: Micros(r.get_rate()),
        burst: Micros(r.get_burst()),
        tokens: Micros(r.get_tokens()),
        term: Millis(r.get_term().into()),
    })
}

fn limit_key(r: wire::limit_key::Reader<'_>) -> Result<LimitKey> {
    Ok(match r.which()? {
        wire::limit_key::Workspace(name) => LimitKey::Workspace(WorkspaceId(text(name)?)),
        wire::limit_key::Shift(name) => LimitKey::Shift(ShiftName(text(name)?)),
        wire::limit_key::Link(link) => LimitKey::Link {
            from: RegionId(text(link.get_from())?),
            to: RegionId(text(link.get_to())?),
        },
        wire::limit_key::Region(name) => LimitKey::Region(RegionId(text(name)?)),
    })
}

pub(crate) fn renew_request(r: wire::renew_request::Reader<'_>) -> Result<RenewRequest> {
    Ok(RenewRequest {
        from: VmId(text(r.get_from())?),
        incarnation: Incarnation(r.get_incarnation()),
        shards: r.get_shards()?.iter().map(shard_epoch).collect(),
    })
}

pub(crate) fn renew_reply(r: wire::renew_reply::Reader<'_>) -> Result<RenewReply> {
    Ok(RenewReply {
        acked: r.get_acked()?.iter().map(shard_epoch).collect(),
    })
}

fn shard_epoch(r: wire::shard_epoch::Reader<'_>) -> ShardEpoch {
    ShardEpoch {
        shard: ShardId(r.get_shard()),
        epoch: r.get_epoch(),
    }
}
