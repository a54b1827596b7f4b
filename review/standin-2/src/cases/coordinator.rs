//! A coordinator of a quota whose datagrams are lost on the way to the others, while theirs reach it.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use super::quota::{self, BURST, RATE};
use super::{Failure, Work, config_with_quota, machine_ip};
use crate::client::{Account, Clients};
use crate::datagrams::Datagrams;
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

const MACHINES: usize = 4;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5500);

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let peers: Vec<SocketAddr> = (0..MACHINES)
        .map(|i| SocketAddr::from((machine_ip(i as u8 + 1), 7460)))
        .collect();
    let datagrams = Datagrams::start(peers)?;
    let lag = Duration::from_millis(300);
    let store = Store::new(StoreTerms {
        page: 500,
        lag,
        lag_of_further_pages: lag,
        datagrams: Some(datagrams.clone()),
    });
    store.put("config", "main", Some(config_with_quota(1, RATE, BURST)));
    let upstreams = (1..=4).map(|i| {
        Upstream::start(
            &store,
            &format!("i-{i}"),
            "orders",
            "zone-a",
            Duration::from_millis(5),
        )
    });
    let upstreams: Vec<Upstream> = upstreams.collect::<Result<_, _>>()?;
    thread::sleep(Duration::from_secs(1));
    let mut vms = Vec::new();
    for number in 0..MACHINES {
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
    record.line("all machines are ready");
    thread::sleep(Duration::from_secs(8));
    let account = Account::default();
    let clients: Vec<Clients> = vms
        .iter()
        .map(|vm| Clients::start(12, &quota::plan(vm), &account))
        .collect();
    thread::sleep(Duration::from_secs(6));
    // Each machine in turn, since which one is the coordinator is the system's own matter.
    for (number, vm) in vms.iter().enumerate() {
        if with_trouble {
            datagrams.mute(number);
            record.line(&format!("what {} sends to other machines is lost", vm.name));
        }
        thread::sleep(CUT);
        if with_trouble {
            datagrams.heal();
            record.line(&format!("what {} sends arrives again", vm.name));
        }
        thread::sleep(Duration::from_secs(6));
    }
    for clients in clients {
        clients.end();
    }

    Ok(quota::judge(&upstreams, &account, record))
}
