//! Look-ups, shifts and the membership view.

use std::net::IpAddr;

use fastrand::Rng;
use waxwing_core::{
    BlockTable, Config, Members, ParsedRecord, Steering, VersionedRecord, Vm, rendezvous_rank,
};
use waxwing_types::{DomainId, Incarnation, Millis, RegionId, Revision, VmId};

const NOW: Millis = Millis(1000);

fn adopt(config: &mut Config, path: &str, spec: &str) {
    let (kind, name) = path.split_once('/').expect("a path");
    let json = format!(r#"{{"schema":1,"kind":"{kind}","name":"{name}","spec":{spec}}}"#);
    let version = Revision(config.counts().applied + 1);
    let record = VersionedRecord {
        path: format!("config/{path}").into(),
        version,
        value: json.into_bytes(),
    };
    config.apply(NOW, ParsedRecord::parse(record));
    assert_eq!(config.rejected_records().count(), 0);
}

/// Regions `r0` with domains `a`, `b` and `r1` with `c`; site `s` is served by `b`.
fn config() -> Config {
    let mut config = Config::new();
    let r0 =
        r#"{"domains":[{"name":"a"},{"name":"b","sites":["s"]}],"spare_rate":1,"spare_burst":1}"#;
    adopt(&mut config, "region/r0", r0);
    let r1 = r#"{"domains":[{"name":"c"}],"spare_rate":1,"spare_burst":1}"#;
    adopt(&mut config, "region/r1", r1);
    adopt(&mut config, "blocks/x", r#"{"blocks":["10.0.0.0/8 s"]}"#);
    config
}

/// Five VMs in each domain, seen by the first VM of `a`.
fn members() -> Members {
    let mut members = Members::new(VmId::from("a0"), DomainId::from("a"));
    let address = "127.0.0.1:1".parse().expect("an address");
    let vms = ["a", "b", "c"]
        .into_iter()
        .flat_map(|d| (0..5).map(move |i| (d, i)));
    let vms = vms.map(|(domain, i)| Vm {
        id: VmId::from(format!("{domain}{i}").as_str()),
        domain: DomainId::from(domain),
        client: address,
        peer: address,
        peer_http: address,
        leaving: false,
    });
    members.update_vm_list(Millis(0), vms.collect());
    members
}

fn names(config: &Config, members: &Members, client: &str) -> Vec<String> {
    let table = BlockTable::build(config.block_records());
    let client: IpAddr = client.parse().expect("an address");
    let steering = Steering::new(DomainId::from("a"));
    let answer = steering.lookup(NOW, config, &table, members, client);
    answer.vms.iter().map(|vm| vm.id.to_string()).collect()
}

/// Fails if a client is sent away from the failure domain that serves its site, or is left without
/// VMs of others.
#[test]
fn a_lookup_names_the_nearest_domain_first() {
    let (config, members) = (config(), members());

    let known = names(&config, &members, "10.1.2.3");
    let unknown = names(&config, &members, "192.0.2.1");

    let domains = |names: Vec<String>| names.iter().map(|n| n[..1].to_owned()).collect::<String>();
    assert_eq!(domains(known), "bbbbaac");
    assert_eq!(domains(unknown), "aaaabbc");
}

/// Fails if all clients are sent to the same VM.
#[test]
fn lookups_spread_clients() {
    let (config, members) = (config(), members());
    let first = |i: u8| names(&config, &members, &format!("10.0.0.{i}"))[0].clone();

    let firsts: std::collections::BTreeSet<_> = (0..100).map(first).collect();

    assert_eq!(firsts.len(), 5);
}

/// Fails if a VM that stops, leaves or does not answer is named.
#[test]
fn a_lookup_names_no_vm_that_is_gone() {
    let (config, mut members) = (config(), members());
    members.record_contact(NOW, &VmId::from("b1"), Incarnation(1), true);
    members.record_call_failure(&VmId::from("b2"));
    // A message that the stopped process's predecessor sent arrives late.
    members.record_contact(NOW, &VmId::from("b1"), Incarnation(0), false);

    let named = names(&config, &members, "10.1.2.3");

    assert!(
        !named.contains(&"b1".into()) && !named.contains(&"b2".into()),
        "{named:?}"
    );
}

/// Fails if a shift moves more than its percentage, or skips its ramp.
#[test]
fn a_shift_grows_to_its_percentage() {
    let mut config = config();
    let spec = r#"{"service":"s","from":"r0","to":"r1","percent":40,"cap_rate":1,"cap_burst":1,"ramp_ms":10000}"#;
    adopt(&mut config, "shift/move", spec);
    let steering = Steering::new(DomainId::from("a"));
    let mut rng = Rng::with_seed(1);
    let mut moved = |after: u64| {
        let now = NOW + Millis(after);
        let shift = |_: &i32| {
            steering
                .pick_shift(now, &config, &"s".into(), &mut rng)
                .is_some()
        };
        (0..10_000).filter(shift).count()
    };

    assert_eq!(moved(0), 0);
    assert!((1900..2100).contains(&moved(5000)));
    assert!((3850..4150).contains(&moved(10_000)));
}

/// Fails if work for another region goes to a VM that does not answer.
#[test]
fn an_entry_vm_of_another_region_is_usable() {
    let (config, mut members) = (config(), members());
    for id in ["c0", "c1", "c2", "c4"] {
        members.record_call_failure(&VmId::from(id));
    }
    let steering = Steering::new(DomainId::from("a"));

    let region = RegionId::from("r1");
    let vm = steering.pick_entry_vm(NOW, &config, &members, &region, &mut Rng::with_seed(1));

    assert_eq!(vm.map(|vm| vm.id.as_str()), Some("c3"));
}

/// Fails if VMs disagree on duties, or if the loss of one VM moves the duties of others.
#[test]
fn rendezvous_ranking_moves_only_the_duties_of_the_lost() {
    let all: Vec<_> = (0..34)
        .map(|i| VmId::from(format!("vm-{i}").as_str()))
        .collect();
    let lost = &all[5];
    let mut firsts = std::collections::BTreeMap::<&VmId, u32>::new();
    for duty in 0..340 {
        let duty = format!("duty {duty}");
        let before = rendezvous_rank(&duty, all.iter())[0];
        let after = rendezvous_rank(&duty, all.iter().rev().filter(|vm| *vm != lost))[0];
        assert!(before == lost || before == after);
        *firsts.entry(before).or_default() += 1;
    }
    assert!(
        firsts.len() > 30 && firsts.values().all(|n| *n < 30),
        "{firsts:?}"
    );
}

/// Fails if silence in a large domain, where VMs meet rarely, counts as death, or if in a small
/// one it does not.
#[test]
fn silence_counts_by_the_size_of_the_domain() {
    let mut members = members();
    let (own, other) = (VmId::from("a1"), VmId::from("c1"));
    members.record_contact(NOW, &own, Incarnation(1), false);
    members.record_contact(NOW, &other, Incarnation(1), false);

    assert!(members.is_responsive(Millis(20_000), &own));
    assert!(!members.is_responsive(Millis(40_000), &own));
    assert!(members.is_responsive(Millis(40_000), &other));
}

/// Fails if pulls stay in the domain, so that a domain cut off from the store gets no news.
#[test]
fn three_pulls_of_four_stay_in_the_domain() {
    let mut members = members();
    let mut rng = Rng::with_seed(1);

    let pulls = (0..400).filter_map(|_| members.next_pull_peer(&mut rng));
    let inside = pulls.filter(|id| id.as_str().starts_with('a')).count();

    assert_eq!(inside, 300);
}
