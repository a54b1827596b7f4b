//! A list of several pages, of which a later one shows an older state than the first one.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{DRAIN, Failure, STABLE, Work, config, machine_ip};
use crate::client::{Account, Clients, Plan};
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

/// Ages of the states of the two copies that answer calls with `allowStale`: first pages, and further pages of a list.
const LAG: Duration = Duration::from_millis(300);
const LAG_OF_FURTHER_PAGES: Duration = Duration::from_secs(3);
/// Items of one answer, as the site file has it.
const PAGE: usize = 50;
/// Time for which the upstream serves after the acknowledgement.
const SERVES: Duration = Duration::from_secs(12);

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let store = Store::new(StoreTerms {
        page: PAGE,
        lag: LAG,
        lag_of_further_pages: LAG_OF_FURTHER_PAGES,
        datagrams: None,
    });
    store.put("config", "main", Some(config(1)));
    // The upstreams are in another region than the machine.
    let start = |id: &str, service: &str| {
        Upstream::start(&store, id, service, "zone-b", Duration::from_millis(100))
    };
    // The upstreams of another service fill the first page.
    let others = (0..PAGE + 4).map(|i| start(&format!("a-{i:02}"), "other"));
    let _others: Vec<Upstream> = others.collect::<Result<_, _>>()?;
    let upstreams = (1..=3).map(|i| start(&format!("i-{i}"), "orders"));
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_, _>>()?;
    thread::sleep(LAG_OF_FURTHER_PAGES + Duration::from_secs(1));
    let terms = VmTerms {
        name: "front-zone-a-1",
        zone: "zone-a",
        region: "region-a",
        zones: "zone-a=region-a,zone-b=region-b",
        ip: machine_ip(1),
        store: store.serve(0)?,
    };
    let mut vm = Vm::start(root, &work.0, &terms)?;
    record.line(&format!("started: {}", vm.command()));
    if !vm.wait_until_ready(Duration::from_secs(20)) {
        return Err("the machine is not ready".into());
    }
    record.line("the machine is ready");
    let account = Account::default();
    let plan = Plan {
        machine: vm.name.clone(),
        address: vm.front,
        method: "POST",
        host: "shop.example",
        path: "/orders/1",
        key: "key-of-the-clinic",
        deadline: Duration::from_millis(2500),
        pause: Duration::from_millis(100),
        body: 200,
        is_fatal: false,
    };
    let clients = Clients::start(6, &plan, &account);
    thread::sleep(Duration::from_secs(12));

    let leaving = &upstreams[0];
    let acked_at = leaving.drain();
    record.line_at(
        acked_at,
        &format!("the store acknowledges that {} is draining", leaving.id()),
    );
    thread::sleep(Duration::from_millis(1500));
    let mut in_touch_at = acked_at;
    if with_trouble {
        vm.kill();
        record.line("SIGKILL of the machine");
        thread::sleep(Duration::from_millis(300));
        vm.start_again()?;
        let started_at = Instant::now();
        record.line("the machine is started again");
        in_touch_at = started_at + STABLE;
    }
    thread::sleep((acked_at + SERVES).saturating_duration_since(Instant::now()));
    leaving.end();
    record.line(&format!("{} ends and is removed", leaving.id()));
    thread::sleep(Duration::from_secs(2));
    clients.end();

    for call in store.calls_since(acked_at) {
        if call.kind == "servers" {
            let what = if call.is_watch { "watch" } else { "list" };
            let state = if call.is_stale { "stale" } else { "latest" };
            record.line_at(
                call.answered_at,
                &format!(
                    "store answers: {what} of servers, {state}, {} objects",
                    call.changes
                ),
            );
        }
    }
    let (mut late, mut excused) = (0, 0);
    for arrival in leaving.arrivals() {
        let after = arrival.at.saturating_duration_since(acked_at);
        if after > DRAIN {
            let is_in_touch = arrival.at > in_touch_at;
            late += usize::from(is_in_touch);
            excused += usize::from(!is_in_touch);
            let verdict = if is_in_touch {
                "LATE"
            } else {
                "excused: the machine has just started"
            };
            record.line_at(
                arrival.at,
                &format!(
                    "request {} reaches {}, {} ms after the acknowledgement: {verdict}",
                    arrival.id,
                    leaving.id(),
                    after.as_millis()
                ),
            );
        }
    }
    let sent = account.all();
    let unanswered = sent.iter().filter(|sent| sent.status != Some(200)).count();
    record.line(&format!(
        "{} requests sent, {unanswered} not answered with 200, {late} reached {} later than {} ms after the acknowledgement, from a machine in touch; {excused} more in its start",
        sent.len(), leaving.id(), DRAIN.as_millis()
    ));
    Ok(late == 0)
}
