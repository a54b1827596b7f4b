//! Exchanges configuration records between VMs under random faults, and checks them with an oracle.

mod cluster;

use cluster::oracle::{Oracle, PROPAGATION_BOUND};
use cluster::{Cluster, NetworkFaults, STORE_DOMAIN};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use smol_str::SmolStr;
use waxwing_core::PullSettings;
use waxwing_records::{KeyHash, RecordName};
use waxwing_types::{Millis, Revision};

const PATHS: &[&str] = &[
    "config/workspace/w0",
    "config/workspace/w1",
    "config/key/k0",
    "config/key/k1",
    "config/blocks/b0",
    // A kind that this version does not know, as from a newer version of waxwingrail.
    "config/gadget/g0",
];
const DOMAINS: usize = 3;
/// VMs in each failure domain.
const VMS_PER_DOMAIN: usize = 3;

/// The content of a record that an operator writes.
#[derive(Clone, Copy, Debug)]
enum Content {
    Valid,
    Invalid,
    Withdrawn,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, in milliseconds.
    Run(u64),
    /// An operator reads the record at a path, to update it later.
    Read {
        operator: usize,
        path: usize,
    },
    /// An operator updates the record that it read, unless another operator has changed it since.
    Write {
        operator: usize,
        content: Content,
    },
    /// The store receives a write outside the configuration.
    WriteElsewhere,
    /// Two failure domains can no longer reach each other. If both are the same, its VMs cannot.
    CutDomains {
        a: usize,
        b: usize,
    },
    /// A failure domain can no longer reach the store.
    CutStore(usize),
    StoreDown,
    /// The network starts to lose, duplicate and delay messages.
    SetNet {
        loss: u64,
        duplicates: u64,
        delay: u64,
    },
    /// The process of a VM is killed and another one starts, on the same VM or on a new one.
    ReplaceVm {
        node: usize,
        same_id: bool,
    },
    /// All faults end.
    Heal,
}

/// The seed of the simulation. The oracle is part of the system under test, so that the reference
/// state holds nothing else.
#[derive(Clone, Debug)]
struct Seed(u64);

/// The state machine test of the exchange of records.
struct ConfigExchange;

impl ReferenceStateMachine for ConfigExchange {
    type State = Seed;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Seed> {
        any::<u64>().prop_map(Seed).boxed()
    }

    fn transitions(_: &Seed) -> BoxedStrategy<Step> {
        let operator = 0..2_usize;
        let content = prop_oneof![
            4 => Just(Content::Valid),
            1 => Just(Content::Invalid),
            2 => Just(Content::Withdrawn)
        ];
        prop_oneof![
            6 => (1..4000_u64).prop_map(Step::Run),
            2 => (13_000..20_000_u64).prop_map(Step::Run),
            6 => (operator.clone(), 0..PATHS.len()).prop_map(|(operator, path)| Step::Read { operator, path }),
            8 => (operator, content).prop_map(|(operator, content)| Step::Write { operator, content }),
            1 => Just(Step::WriteElsewhere),
            2 => (0..DOMAINS, 0..DOMAINS).prop_map(|(a, b)| Step::CutDomains { a, b }),
            2 => (0..DOMAINS).prop_map(Step::CutStore),
            1 => Just(Step::StoreDown),
            1 => (0..300_u64, 0..300_u64, 0..3000_u64)
                .prop_map(|(loss, duplicates, delay)| Step::SetNet { loss, duplicates, delay }),
            2 => (0..DOMAINS * VMS_PER_DOMAIN, any::<bool>()).prop_map(|(node, same_id)| Step::ReplaceVm { node, same_id }),
            2 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: Seed, _: &Step) -> Seed {
        state
    }
}

/// The system under test.
struct Sut {
    cluster: Cluster,
    oracle: Oracle,
    /// The path and the version that each operator read last.
    last_read: [(usize, Revision); 2],
    /// The updates that the store acknowledged.
    acknowledged: Vec<(usize, Revision, Vec<u8>)>,
    /// Number of updates that the operators tried.
    attempted_writes: u64,
}

/// Builds the JSON of a record. `number` makes its content different from other records.
fn record_json(path: &str, content: Content, number: u64) -> Vec<u8> {
    let (kind, name) = path
        .trim_start_matches("config/")
        .split_once('/')
        .expect("a path");
    let spec = match (kind, content) {
        (_, Content::Withdrawn) => {
            let id = RecordName::from_path(path);
            return id.map_or(b"{}".to_vec(), |id| {
                waxwing_records::Document::withdrawal(&id)
            });
        }
        (_, Content::Invalid) => r#"{"rate":0}"#.into(),
        ("workspace", Content::Valid) => format!(r#"{{"rate":{number},"burst":{number}}}"#),
        ("key", Content::Valid) => {
            let hash = KeyHash::of(&format!("{name}.secret"));
            format!(r#"{{"workspace":"w0","sha256":"{hash}"}}"#)
        }
        (_, Content::Valid) => format!(r#"{{"blocks":["10.{}.0.0/16 s1"]}}"#, number % 256),
    };
    format!(r#"{{"schema":1,"kind":"{kind}","name":"{name}","spec":{spec}}}"#).into_bytes()
}

impl Sut {
    fn run(&mut self, span: u64) {
        self.oracle.update_connectivity(&self.cluster);
        let mut remaining = span;
        while remaining > 0 {
            let slice = remaining.min(200);
            self.cluster.run(Millis(slice));
            self.oracle.check(&self.cluster);
            remaining -= slice;
        }
    }

    fn write(&mut self, operator: usize, content: Content) {
        let (path, expected) = self.last_read[operator];
        self.attempted_writes += 1;
        let value = record_json(PATHS[path], content, self.attempted_writes);
        let name = SmolStr::new(PATHS[path]);
        if let Some(version) = self.cluster.put(&name, value.clone(), expected) {
            self.acknowledged.push((path, version, value));
        }
    }

    fn heal(&mut self) {
        self.cluster.partitions.clear();
        self.cluster.store.down = false;
        self.cluster.network_faults = NetworkFaults::default();
    }

    /// Fails if an acknowledged update was overwritten by an operator that had not read it.
    fn check_acknowledged_updates(&self) {
        for (path, version, value) in &self.acknowledged {
            let write = self.cluster.store.write_with_version(*version);
            assert_eq!(write.path, PATHS[*path], "an acknowledged update was lost");
            assert_eq!(write.value, *value, "an acknowledged update was lost");
        }
    }
}

impl StateMachineTest for ConfigExchange {
    type SystemUnderTest = Sut;
    type Reference = Self;

    fn init_test(seed: &Seed) -> Sut {
        let settings = PullSettings {
            // So small that most transfers take several pages.
            page_bytes: 300,
            ..PullSettings::default()
        };
        Sut {
            cluster: Cluster::new(DOMAINS, VMS_PER_DOMAIN, seed.0, settings),
            oracle: Oracle::default(),
            last_read: [(0, Revision(0)); 2],
            acknowledged: Vec::new(),
            attempted_writes: 0,
        }
    }

    fn apply(mut sut: Sut, _: &Seed, step: Step) -> Sut {
        match step {
            Step::Run(span) => sut.run(span),
            Step::Read { operator, path } => {
                sut.last_read[operator] = (path, sut.cluster.store.version(PATHS[path]));
            }
            Step::Write { operator, content } => sut.write(operator, content),
            Step::WriteElsewhere => sut.cluster.store.write_unrelated_object(),
            Step::CutDomains { a, b } => {
                sut.cluster.partitions.insert((a.min(b), a.max(b)));
            }
            Step::CutStore(domain) => {
                sut.cluster.partitions.insert((domain, STORE_DOMAIN));
            }
            Step::StoreDown => sut.cluster.store.down = true,
            Step::SetNet {
                loss,
                duplicates,
                delay,
            } => {
                sut.cluster.network_faults = NetworkFaults {
                    loss,
                    duplicates,
                    delay,
                };
            }
            Step::ReplaceVm { node, same_id } => sut.cluster.replace_process(node, same_id),
            Step::Heal => sut.heal(),
        }
        sut.oracle.update_connectivity(&sut.cluster);
        sut.oracle.check(&sut.cluster);
        sut
    }

    fn teardown(mut sut: Sut) {
        sut.heal();
        sut.run(PROPAGATION_BOUND.0 + 200);
        sut.check_acknowledged_updates();
        let newest = sut.cluster.store.changes_after(Revision(0));
        for node in &sut.cluster.nodes {
            for record in &newest {
                let held = node.config.versions(&record.path).map(|v| v.0);
                assert_eq!(
                    held,
                    Some(record.version),
                    "{} holds a wrong version of {}",
                    node.id,
                    record.path
                );
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Fails if a record or a revision goes back to an older version, if a change does not reach
    /// every VM after the faults end, or if a VM reports a revision of which it does not hold every
    /// record.
    #[test]
    fn replicas_converge_and_never_regress(sequential 5..40 => ConfigExchange);
}
