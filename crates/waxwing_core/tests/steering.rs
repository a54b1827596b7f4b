//! Tests of client lookups, traffic shifts and the membership view.

use std::net::IpAddr;

use fastrand::Rng;
use waxwing_core::{
    BlockTable, Config, Members, ParsedRecord, Steering, VersionedRecord, Vm, rendezvous_rank,
};
use waxwing_types::{DomainId, Incarnation, Millis, RegionId, Revision, VmId};

const NOW: Millis = Millis(1000);

/// Applies a record and checks that it is valid.
fn apply(config: &mut Config, path: &str, spec: &str) {
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

/// Returns a configuration of two regions: `r0` with the failure domains `a` and `b`, and `r1` with
/// the failure domain `c`. Domain `b` serves the site `s`, to which the addresses 10.0.0.0/8
/// belong.
fn two_region_config() -> Config {
    let mut config = Config::new();
    let r0 =
        r#"{"domains":[{"name":"a"},{"name":"b","sites":["s"]}],"spare_rate":1,"spare_burst":1}"#;
    apply(&mut config, "region/r0", r0);
    let r1 = r#"{"domains":[{"name":"c"}],"spare_rate":1,"spare_burst":1}"#;
    apply(&mut config, "region/r1", r1);
    apply(&mut config, "blocks/x", r#"{"blocks":["10.0.0.0/8 s"]}"#);
    config
}

/// Returns the membership view of the VM `a0`. Each failure domain has five VMs, such as `a0` to
/// `a4`.
fn five_vms_per_domain() -> Members {
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

/// Returns the ids of the entry VMs, to which the client may send its requests. A VM of failure
/// domain `a` answers the lookup.
fn lookup_ids(config: &Config, members: &Members, client: &str) -> Vec<String> {
    let table = BlockTable::build(config.block_records());
    let client: IpAddr = client.parse().expect("an address");
    let steering = Steering::new(DomainId::from("a"));
    let answer = steering.lookup(NOW, config, &table, members, client);
    answer.vms.iter().map(|vm| vm.id.to_string()).collect()
}

/// Fails if the first VMs in an answer are not from the failure domain that serves the site of the
/// client, or if VMs of the other domains are missing.
#[test]
fn a_lookup_returns_the_nearest_domain_first() {
    let (config, members) = (two_region_config(), five_vms_per_domain());

    let known_site = lookup_ids(&config, &members, "10.1.2.3");
    let unknown_site = lookup_ids(&config, &members, "192.0.2.1");

    // The failure domain of a VM is the first letter of its id.
    let domains = |ids: Vec<String>| ids.iter().map(|id| id[..1].to_owned()).collect::<String>();
    // An answer has 4 VMs of the nearest domain, 2 of the rest of the region and up to 2 of other
    // regions, one of each. Here there is only one other region.
    assert_eq!(domains(known_site), "bbbbaac");
    assert_eq!(domains(unknown_site), "aaaabbc");
}

/// Fails if some of the five VMs of the domain are the first VM in no answer to a client of the
/// site.
#[test]
fn lookups_spread_clients() {
    let (config, members) = (two_region_config(), five_vms_per_domain());
    let first_vm = |i: u8| lookup_ids(&config, &members, &format!("10.0.0.{i}"))[0].clone();

    let first_vms: std::collections::BTreeSet<_> = (0..100).map(first_vm).collect();

    assert_eq!(first_vms.len(), 5);
}

/// Fails if a lookup returns a VM that is stopping, or a VM to which the last call failed.
#[test]
fn a_lookup_omits_unusable_vms() {
    let (config, mut members) = (two_region_config(), five_vms_per_domain());
    members.record_contact(NOW, &VmId::from("b1"), Incarnation(1), true);
    members.record_call_failure(&VmId::from("b2"));
    // A message from an earlier process of the VM arrives late. It must not undo `stopping`.
    members.record_contact(NOW, &VmId::from("b1"), Incarnation(0), false);

    let ids = lookup_ids(&config, &members, "10.1.2.3");

    assert!(
        !ids.contains(&"b1".into()) && !ids.contains(&"b2".into()),
        "{ids:?}"
    );
}

/// Fails if a shift does not grow during its ramp, or does not reach its percentage afterwards.
#[test]
fn a_shift_grows_to_its_percentage() {
    let mut config = two_region_config();
    let spec = r#"{"service":"s","from":"r0","to":"r1","percent":40,"cap_rate":1,"cap_burst":1,"ramp_ms":10000}"#;
    apply(&mut config, "shift/move", spec);
    let steering = Steering::new(DomainId::from("a"));
    let mut rng = Rng::with_seed(1);
    // Counts how many of 10,000 requests the shift moves, `elapsed` ms after it became active.
    let mut moved_requests = |elapsed: u64| {
        let now = NOW + Millis(elapsed);
        let is_moved = |_: &i32| {
            steering
                .pick_shift(now, &config, &"s".into(), &mut rng)
                .is_some()
        };
        (0..10_000).filter(is_moved).count()
    };

    assert_eq!(moved_requests(0), 0);
    assert!((1900..2100).contains(&moved_requests(5000)));
    assert!((3850..4150).contains(&moved_requests(10_000)));
}

/// Fails if a request for another region is sent to a VM whose last call failed.
#[test]
fn the_chosen_entry_vm_of_another_region_is_usable() {
    let (config, mut members) = (two_region_config(), five_vms_per_domain());
    for id in ["c0", "c1", "c2", "c4"] {
        members.record_call_failure(&VmId::from(id));
    }
    let steering = Steering::new(DomainId::from("a"));

    let region = RegionId::from("r1");
    let vm = steering.pick_entry_vm(NOW, &config, &members, &region, &mut Rng::with_seed(1));

    assert_eq!(vm.map(|vm| vm.id.as_str()), Some("c3"));
}

/// Fails if the ranking depends on the order of the candidates, or if the keys are spread unevenly
/// over the VMs. Also fails if the failure of one VM changes the first VM of a key whose first VM
/// is a different one.
#[test]
fn rendezvous_ranking_moves_only_the_keys_of_a_failed_vm() {
    let vms: Vec<_> = (0..34)
        .map(|i| VmId::from(format!("vm-{i}").as_str()))
        .collect();
    let failed = &vms[5];
    let mut keys_per_vm = std::collections::BTreeMap::<&VmId, u32>::new();
    for i in 0..340 {
        let key = format!("duty {i}");
        let before = rendezvous_rank(&key, vms.iter())[0];
        let after = rendezvous_rank(&key, vms.iter().rev().filter(|vm| *vm != failed))[0];
        assert!(before == failed || before == after);
        *keys_per_vm.entry(before).or_default() += 1;
    }
    assert!(
        keys_per_vm.len() > 30 && keys_per_vm.values().all(|n| *n < 30),
        "{keys_per_vm:?}"
    );
}

/// Fails if the liveness timeout of a failure domain with five VMs is below 19 s or above 39 s, or
/// if the timeout applies to VMs of other domains.
///
/// The timeout is 5 s times the number of VMs in the domain, because two VMs of a large domain
/// rarely contact each other. The minimum timeout of 5 s would be too short.
#[test]
fn the_liveness_timeout_exceeds_the_minimum_in_a_domain_of_five_vms() {
    let mut members = five_vms_per_domain();
    let (local_vm, remote_vm) = (VmId::from("a1"), VmId::from("c1"));
    members.record_contact(NOW, &local_vm, Incarnation(1), false);
    members.record_contact(NOW, &remote_vm, Incarnation(1), false);

    assert!(members.is_responsive(Millis(20_000), &local_vm));
    assert!(!members.is_responsive(Millis(40_000), &local_vm));
    assert!(members.is_responsive(Millis(40_000), &remote_vm));
}

/// Fails if not exactly three of four pulls stay in the failure domain. Without pulls from other
/// domains, a domain that cannot reach the store would get no changes.
#[test]
fn three_of_four_pulls_stay_in_the_domain() {
    let mut members = five_vms_per_domain();
    let mut rng = Rng::with_seed(1);

    let pulls = (0..400).filter_map(|_| members.next_pull_peer(&mut rng));
    let local_pulls = pulls.filter(|id| id.as_str().starts_with('a')).count();

    assert_eq!(local_pulls, 300);
}
