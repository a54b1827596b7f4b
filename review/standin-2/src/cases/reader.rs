//! A store reader that was cut off from the store for a moment reports that nothing has changed.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{DRAIN, Failure, Work, config, machine_ip};
use crate::client::{Account, Clients, Plan};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

/// Age of the states that calls with `allowStale` read.
const LAG: Duration = Duration::from_secs(3);
/// From the registration of the new upstream, of a release, to the cut: the reader waits for changes again.
const BEFORE_CUT: Duration = Duration::from_millis(1000);
/// Length of the cut, and the moment in it at which the old upstream reports that it is leaving.
const CUT: Duration = Duration::from_millis(300);
const DRAIN_IN_CUT: Duration = Duration::from_millis(150);
/// Time for which an upstream works on a request.
const WORK: Duration = Duration::from_millis(300);
/// Time for which the upstream serves after the acknowledgement: `drainMs` and a little longer.
const SERVES: Duration = Duration::from_millis(2950);

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let store = Store::new(StoreTerms {
        page: 500,
        lag: LAG,
        lag_of_further_pages: LAG,
        datagrams: None,
    });
    store.put("config", "main", Some(config(1)));
    let upstreams = (1..=4).map(|i| {
        let id = format!("i-{i}");
        Upstream::start(&store, &id, "orders", "zone-a", WORK)
    });
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_, _>>()?;
    // The stale states hold the upstreams when the machines start.
    thread::sleep(LAG + Duration::from_secs(1));
    let mut vms = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..2 {
        let proxy = Proxy::start(store.serve(number)?)?;
        let terms = VmTerms {
            name: &format!("front-zone-a-{}", number + 1),
            zone: "zone-a",
            region: "region-a",
            zones: "zone-a=region-a",
            ip: machine_ip(number as u8 + 1),
            store: proxy.address,
        };
        let vm = Vm::start(root, &work.0, &terms)?;
        record.line(&format!("started: {}", vm.command()));
        vms.push(vm);
        proxies.push(proxy);
    }
    for vm in &vms {
        if !vm.wait_until_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", vm.name).into());
        }
    }
    record.line("both machines are ready");
    thread::sleep(Duration::from_secs(10));

    // The machine that waits for changes of the latest state reads for the others.
    let reader = (0..vms.len()).max_by_key(|i| latest_watches(&store, *i, Duration::from_secs(4)));
    let reader = reader.unwrap_or(0);
    let other = 1 - reader;
    let (reads, others_reads) = (
        latest_watches(&store, reader, Duration::from_secs(4)),
        latest_watches(&store, other, Duration::from_secs(4)),
    );
    record.line(&format!(
        "in 4 s, {} waited {reads} times for changes of servers in the latest state, {} {others_reads} times",
        vms[reader].name, vms[other].name
    ));
    if reads == 0 || others_reads > 0 {
        return Err("no machine reads for the other one".into());
    }
    let account = Account::default();
    let plan = Plan {
        machine: vms[other].name.clone(),
        address: vms[other].front,
        method: "POST",
        host: "shop.example",
        path: "/orders/1",
        key: "key-of-the-clinic",
        deadline: Duration::from_millis(2500),
        pause: Duration::from_millis(50),
        body: 200,
        is_fatal: false,
    };
    let clients = Clients::start(30, &plan, &account);
    thread::sleep(Duration::from_secs(4));

    let leaving = &upstreams[0];
    let replacement = Upstream::start(&store, "i-5", "orders", "zone-a", WORK)?;
    record.line(&format!(
        "{} registers; it replaces {}",
        replacement.id(),
        leaving.id()
    ));
    thread::sleep(BEFORE_CUT);
    if with_trouble {
        proxies[reader].cut();
        record.line(&format!("cut (reset): {} from the store", vms[reader].name));
    }
    thread::sleep(DRAIN_IN_CUT);
    let acked_at = leaving.drain();
    record.line_at(
        acked_at,
        &format!("the store acknowledges that {} is draining", leaving.id()),
    );
    thread::sleep(CUT - DRAIN_IN_CUT);
    if with_trouble {
        proxies[reader].heal();
        record.line(&format!("healed: {} reaches the store", vms[reader].name));
    }
    thread::sleep((acked_at + SERVES).saturating_duration_since(Instant::now()));
    leaving.end();
    record.line(&format!("{} ends and is removed", leaving.id()));
    thread::sleep(Duration::from_secs(4));
    clients.end();

    for call in store.calls_since(acked_at - Duration::from_secs(3)) {
        if call.kind == "servers" {
            let what = if call.is_watch { "watch" } else { "list" };
            let state = if call.is_stale { "stale" } else { "latest" };
            record.line_at(
                call.answered_at,
                &format!(
                    "store answers {}: {what} of servers, {state}, {} objects",
                    vms[call.viewer].name, call.changes
                ),
            );
        }
    }
    let ids: std::collections::HashMap<String, String> = account
        .all()
        .into_iter()
        .map(|sent| (sent.id, sent.to))
        .collect();
    let mut late = 0;
    for arrival in leaving.arrivals() {
        let after = arrival.at.saturating_duration_since(acked_at);
        if after > Duration::ZERO {
            let from = ids.get(&arrival.id).map_or("?", String::as_str);
            let is_late = after > DRAIN;
            late += usize::from(is_late);
            record.line_at(
                arrival.at,
                &format!(
                    "request {} from {from} reaches {}, {} ms after the acknowledgement{}",
                    arrival.id,
                    leaving.id(),
                    after.as_millis(),
                    if is_late { ": LATE" } else { "" }
                ),
            );
        }
    }
    let sent = account.all();
    let unanswered = sent.iter().filter(|sent| sent.status != Some(200));
    for sent in unanswered.clone() {
        record.line_at(
            sent.ended_at,
            &format!(
                "client: request {} to {} ends with {:?} after {} ms",
                sent.id,
                sent.to,
                sent.status,
                (sent.ended_at - sent.sent_at).as_millis()
            ),
        );
    }
    record.line(&format!(
        "{} requests sent, {} not answered with 200, {late} reached {} later than {} ms after the acknowledgement",
        sent.len(), unanswered.count(), leaving.id(), DRAIN.as_millis()
    ));
    Ok(late == 0)
}

fn latest_watches(store: &Store, viewer: usize, time: Duration) -> usize {
    let calls = store.calls_since(Instant::now() - time);
    calls
        .iter()
        .filter(|call| is_latest_watch(call, viewer))
        .count()
}

fn is_latest_watch(call: &crate::store::Call, viewer: usize) -> bool {
    call.viewer == viewer && call.kind == "servers" && call.is_watch && !call.is_stale
}
