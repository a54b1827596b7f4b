//! Bytes on the wire of each call between daemons, and what they make for a daemon.
//!
//! `cargo run --release -p waxwing_bench --example peer_bytes -- [--vms 34] [--calls 200]
//! [--pull-ms 1000] [--renew-ms 1000] [--borrow-ms 5100]`
//!
//! A segment counts 40 bytes of TCP and IP headers. The caller acknowledges the reply with a bare
//! segment, which is added.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use async_io::{Timer, block_on};
use lexopt::prelude::*;
use waxwing_core::{
    BorrowReply, BorrowRequest, Grant, LimitKey, LimitRequest, PullReply, PullRequest, RenewReply,
    RenewRequest, ShardEpoch, ShardId,
};
use waxwing_peer::{PeerError, PeerHandler, PeerNode, PeerSettings, Peers};
use waxwing_types::{Incarnation, Micros, Millis, Revision, VmId, WorkspaceId};

const HEADERS: u64 = 40;
const SECOND: Millis = Millis(1000);
const SHARDS: u64 = 8;
/// Budget of a daemon in bytes a second.
const BUDGET: u64 = 3000;

struct Options {
    vms: u64,
    calls: u64,
    pull: u64,
    renew: u64,
    borrow: u64,
}

/// Answers as a daemon without news that grants everything.
struct Quiet;

impl PeerHandler for Quiet {
    fn on_pull(&self, request: PullRequest) -> PullReply {
        PullReply {
            from: vm("r03-d07-vm022"),
            incarnation: request.incarnation,
            revision: request.after,
            age: Millis(2345),
            records: Vec::new(),
            more: false,
            quarantined: Vec::new(),
            stopping: false,
        }
    }

    fn on_borrow(&self, request: BorrowRequest) -> BorrowReply {
        let grants = request.limits.into_iter().map(|ask| Grant {
            key: ask.key,
            seq: ask.current_grant_seq + 1,
            rate: ask.rate,
            burst: ask.burst,
            tokens: ask.tokens,
            term: Millis(15_300),
        });
        BorrowReply {
            grants: grants.collect(),
        }
    }

    fn on_renew(&self, request: RenewRequest) -> RenewReply {
        RenewReply {
            acked: request.shards,
        }
    }
}

fn vm(name: &str) -> VmId {
    VmId::from(name)
}

struct Bench {
    caller: PeerNode,
    server: PeerNode,
    calls: u64,
}

impl Bench {
    fn start(calls: u64) -> anyhow::Result<Self> {
        let address: SocketAddr = ([127, 0, 0, 1], 0).into();
        let start = || PeerNode::start(address, PeerSettings::default(), Arc::new(Quiet));
        Ok(Self {
            caller: start()?,
            server: start()?,
            calls,
        })
    }

    /// Payload and segments sent by both sides so far.
    fn totals(&self) -> [u64; 4] {
        let (a, b) = (self.caller.counts(), self.server.counts());
        [a.sent(), a.segments(), b.sent(), b.segments()]
    }

    /// Bytes of one call on an open connection, both ways, with headers.
    fn measure<F>(&self, name: &str, call: impl Fn() -> F) -> anyhow::Result<u64>
    where
        F: Future<Output = Result<(), PeerError>>,
    {
        let pause = || Timer::after(Duration::from_millis(5));
        block_on(async {
            call().await?;
            pause().await;
            let before = self.totals();
            for _ in 0..self.calls {
                call().await?;
                // Calls are far apart in a daemon, so that none shares a segment with the next.
                pause().await;
            }
            let after = self.totals();
            let mean = |i: usize| (after[i] - before[i]).div_ceil(self.calls);
            let segments = mean(1) + mean(3) + 1;
            let total = mean(0) + mean(2) + HEADERS * segments;
            println!(
                "{name}: caller {} bytes in {} segments, server {} bytes in {} segments, with \
                 headers {total} bytes",
                mean(0),
                mean(1),
                mean(2),
                mean(3)
            );
            Ok(total)
        })
    }
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let bench = Bench::start(options.calls)?;
    connection(&bench)?;
    let to = bench.server.local_addr();
    let pull = bench.measure("pull without news", || async {
        let reply = bench.caller.pull(to, pull_request(), SECOND);
        reply.await.map(drop)
    })?;
    let renew = bench.measure("renew of 1 shard", || async {
        let reply = bench.caller.renew(to, renew_request(), SECOND);
        reply.await.map(drop)
    })?;
    let mut borrow = Vec::new();
    for asks in [1, 2, 10, 100] {
        let name = format!("borrow of {asks}");
        let bytes = bench.measure(&name, || async {
            let reply = bench.caller.borrow(to, borrow_request(asks), SECOND);
            reply.await.map(drop)
        })?;
        borrow.push((asks, bytes));
    }
    for (asks, bytes) in borrow {
        daemon(&options, pull, renew, (asks, bytes));
    }
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        vms: 34,
        calls: 200,
        pull: 1000,
        renew: 1000,
        borrow: 5100,
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("vms") => options.vms = parser.value()?.parse()?,
            Long("calls") => options.calls = parser.value()?.parse()?,
            Long("pull-ms") => options.pull = parser.value()?.parse()?,
            Long("renew-ms") => options.renew = parser.value()?.parse()?,
            Long("borrow-ms") => options.borrow = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()).context("see the head of the file"),
        }
    }
    Ok(options)
}

/// Bytes of the first call, which opens the connection: three segments to open it, four to close
/// it later.
fn connection(bench: &Bench) -> anyhow::Result<()> {
    let to = bench.server.local_addr();
    block_on(bench.caller.pull(to, pull_request(), SECOND))?;
    block_on(Timer::after(Duration::from_millis(20)));
    let [sent, out, received, back] = bench.totals();
    let total = sent + received + HEADERS * (out + back + 1 + 7);
    println!("pull without news on a new connection: {total} bytes");
    Ok(())
}

/// Bytes a second of a daemon in a domain, sent and received, without changes.
fn daemon(options: &Options, pull: u64, renew: u64, (asks, borrow): (u32, u64)) {
    let (vms, period) = (options.vms, options.borrow);
    let others = vms - 1;
    // Each VM answers as many pulls as it makes.
    let pulls = 2 * pull * 1000 / options.pull;
    let renewing = 2 * renew * 1000 / options.renew;
    // A VM asks the owners of all shards; an owner of one shard is asked by all others and renews.
    let asking = SHARDS * borrow * 1000 / period;
    let asked = others * borrow * 1000 / period;
    let owner = pulls + asking + asked + renewing;
    println!(
        "{vms} VMs, {asks} asks of each of {SHARDS} owners every {period} ms: pulls {pulls}, asking \
         {asking}, answering as the owner of a shard {asked}, renewing {renewing}; a daemon without shards {}, \
         an owner and standby of one shard {owner} bytes/s of {BUDGET}",
        pulls + asking,
    );
    let left = BUDGET.saturating_sub(pulls + renewing);
    if let Some(needed) = ((SHARDS + others) * borrow * 1000).checked_div(left) {
        println!(
            "  an owner of one shard stays within the budget at a borrow period of {needed} ms"
        );
    }
}

fn pull_request() -> PullRequest {
    PullRequest {
        from: vm("r03-d07-vm021"),
        incarnation: Incarnation(1_764_800_000),
        domain: "r03-d07".into(),
        after: Revision(123_456),
        stopping: false,
    }
}

fn renew_request() -> RenewRequest {
    RenewRequest {
        from: vm("r03-d07-vm021"),
        incarnation: Incarnation(1_764_800_000),
        shards: vec![ShardEpoch {
            shard: ShardId(3),
            epoch: 77,
        }],
    }
}

fn borrow_request(asks: u32) -> BorrowRequest {
    let ask = |i: u32| LimitRequest {
        key: LimitKey::Workspace(WorkspaceId::from(format!("workspace-{i:04}").as_str())),
        rate: Micros::from_units(40),
        burst: Micros::from_units(80),
        tokens: Micros::from_units(20),
        current_grant_seq: 1234,
    };
    BorrowRequest {
        from: vm("r03-d07-vm021"),
        incarnation: Incarnation(1_764_800_000),
        domain: "r03-d07".into(),
        limits: (0..asks).map(ask).collect(),
    }
}
