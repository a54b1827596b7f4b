//! A machine is stopped and started again, and another one learns late that it is back.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::quota::{self, BURST, RATE};
use super::{Failure, Work, config_with_quota, machine_ip};
use crate::client::{Account, Clients};
use crate::record::Record;
use crate::store::{Store, StoreTerms};
use crate::upstream::Upstream;
use crate::vm::{Vm, VmTerms};

const MACHINES: usize = 3;
/// Age of the states that calls with `allowStale` read.
const LAG: Duration = Duration::from_secs(3);
/// From the SIGTERM to the SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// From the end of the process to its next start, and from that to the stop of the next machine.
const AWAY: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_secs(9);

pub fn play(root: &Path, with_trouble: bool, record: &mut Record) -> Result<bool, Failure> {
    let work = Work::new()?;
    let store = Store::new(StoreTerms {
        page: 500,
        lag: LAG,
        lag_of_further_pages: LAG,
        datagrams: None,
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
    thread::sleep(LAG + Duration::from_secs(1));
    let mut vms = Vec::new();
    for number in 0..MACHINES {
        let terms = VmTerms {
            name: &format!("front-{}", number + 1),
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
    thread::sleep(Duration::from_secs(10));
    for vm in &mut vms {
        if !with_trouble {
            thread::sleep(AWAY + PAUSE);
            continue;
        }
        vm.signal("TERM");
        record.line(&format!("SIGTERM of {}", vm.name));
        let until = Instant::now() + GRACE;
        while Instant::now() < until && !vm.has_ended() {
            thread::sleep(Duration::from_millis(20));
        }
        vm.kill();
        record.line(&format!("{} has ended", vm.name));
        thread::sleep(AWAY);
        vm.start_again()?;
        record.line(&format!("{} is started again", vm.name));
        thread::sleep(PAUSE);
    }
    for clients in clients {
        clients.end();
    }
    Ok(quota::judge(&upstreams, &account, record))
}
