//! An upload that crashes its upstream comes again, among others of the same path and caller whose bodies begin alike.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Failure, STABLE, Work, config, machine_ip};
use crate::client::{Account, Clients, Plan};
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

const WORK: Duration = Duration::from_millis(300);
/// Time after which a crashed upstream is back.
const BACK: Duration = Duration::from_secs(3);
const UPSTREAMS: usize = 20;
/// Length of the body of an upload. The bodies differ at their ends alone.
const UPLOAD: usize = 20_000;
/// Time for which the fatal request comes again and again.
const TROUBLE: Duration = Duration::from_secs(40);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let lag = Duration::from_millis(300);
    let store = Store::new(StoreTerms {
        page: 500,
        lag,
        lag_of_further_pages: lag,
        datagrams: None,
    });
    store.put("config", "main", Some(config(1)));
    let upstreams = (1..=UPSTREAMS)
        .map(|i| Upstream::start(&store, &format!("i-{i}"), "orders", "zone-a", WORK));
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_, _>>()?;
    let upstreams = Arc::new(Mutex::new(upstreams));
    thread::sleep(Duration::from_secs(1));
    let mut vms = Vec::new();
    for number in 0..2 {
        let terms = VmTerms {
            name: &format!("front-zone-a-{}", number + 1),
            zone: "zone-a",
            region: "region-a",
            zones: "zone-a=region-a",
            ip: machine_ip(number as u8 + 1),
            store: store.serve(number)?,
        };
        let vm = Vm::start(root, &work.0, &terms)?;
        record.line(&format!("started: {}", vm.command()));
        vms.push(vm);
    }
    for vm in &vms {
        if !vm.wait_until_ready(Duration::from_secs(20)) {
            return Err(format!("{} is not ready", vm.name).into());
        }
    }
    record.line("both machines are ready");
    let (orders, uploads, fatal) = (Account::default(), Account::default(), Account::default());
    let plan = |vm: &Vm, path, pause, (body, is_fatal)| Plan {
        machine: vm.name.clone(),
        address: vm.front,
        method: "POST",
        host: "shop.example",
        path,
        key: "key-of-the-clinic",
        deadline: Duration::from_millis(2500),
        pause: Duration::from_millis(pause),
        body,
        is_fatal,
    };
    let mut clients = Vec::new();
    for vm in &vms {
        clients.push(Clients::start(
            3,
            &plan(vm, "/orders/{n}", 100, (0, false)),
            &orders,
        ));
        clients.push(Clients::start(
            12,
            &plan(vm, "/photos/new", 100, (UPLOAD, false)),
            &uploads,
        ));
    }
    thread::sleep(Duration::from_secs(8));
    let mut fatal_clients = Vec::new();
    if with_trouble {
        record.line("the fatal upload comes to each machine once a second or less");
        for vm in &vms {
            thread::sleep(Duration::from_millis(650));
            fatal_clients.push(Clients::start(
                1,
                &plan(vm, "/photos/new", 1000, (UPLOAD, true)),
                &fatal,
            ));
        }
    }
    let until = Instant::now() + TROUBLE;
    let mut started = UPSTREAMS;
    let mut replaced = Vec::new();
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(50));
        let all = upstreams.lock().unwrap().clone();
        for crashed in all
            .iter()
            .filter(|u| u.crashed_at().is_some_and(|at| at.elapsed() >= BACK))
        {
            if !replaced.contains(&crashed.id().to_owned()) {
                replaced.push(crashed.id().to_owned());
                started += 1;
                let next =
                    Upstream::start(&store, &format!("i-{started}"), "orders", "zone-a", WORK)?;
                upstreams.lock().unwrap().push(next);
            }
        }
    }
    for clients in fatal_clients.into_iter().chain(clients) {
        clients.end();
    }

    let all = upstreams.lock().unwrap().clone();
    let mut crashes: Vec<(Instant, String)> = all
        .iter()
        .filter_map(|u| Some((u.crashed_at()?, u.id().to_owned())))
        .collect();
    crashes.sort();
    for (at, id) in &crashes {
        record.line_at(*at, &format!("{id} crashes"));
    }
    let mut arrivals: Vec<_> = all
        .iter()
        .flat_map(|u| {
            u.arrivals()
                .into_iter()
                .map(|arrival| (arrival, u.id().to_owned()))
        })
        .filter(|(arrival, _)| arrival.is_fatal)
        .collect();
    arrivals.sort_by_key(|(arrival, _)| arrival.at);
    let counted_from = crashes.get(2).map(|(at, _)| *at + STABLE);
    let mut late = 0;
    for (arrival, id) in &arrivals {
        let is_late = counted_from.is_some_and(|from| arrival.at > from);
        late += usize::from(is_late);
        let note = if is_late {
            ": later than 4,000 ms after the third crash"
        } else {
            ""
        };
        record.line_at(
            arrival.at,
            &format!("the fatal upload reaches {id} as {}{note}", arrival.id),
        );
    }
    for (name, account) in [
        ("orders (unsafe)", &orders),
        ("other uploads", &uploads),
        ("the fatal upload", &fatal),
    ] {
        let sent = account.all();
        let count = |status: Option<u16>| sent.iter().filter(|sent| sent.status == status).count();
        record.line(&format!(
            "{name}: {} sent; 200: {}, 502: {}, 503: {}, 504: {}, no answer: {}",
            sent.len(),
            count(Some(200)),
            count(Some(502)),
            count(Some(503)),
            count(Some(504)),
            count(None)
        ));
    }
    record.line(&format!(
        "{} crashes; the fatal upload reached upstreams {late} times later than 4,000 ms after the third one, {ALLOWED} are allowed",
        crashes.len()
    ));
    Ok(late <= ALLOWED)
}
