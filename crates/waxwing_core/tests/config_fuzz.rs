//! Exchange of records under random faults, against an oracle.

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
    // A kind that only later versions know.
    "config/gadget/g0",
];
const DOMAINS: usize = 3;
const VMS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Content {
    Valid,
    Invalid,
    Withdrawn,
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    /// An operator reads a path, to update it later.
    Read {
        operator: usize,
        path: usize,
    },
    /// An operator updates the path that it read, if nobody else did.
    Write {
        operator: usize,
        content: Content,
    },
    WriteElsewhere,
    Cut {
        a: usize,
        b: usize,
    },
    CutStore(usize),
    StoreDown,
    Net {
        loss: u64,
        duplicates: u64,
        delay: u64,
    },
    Replace {
        node: usize,
        same_id: bool,
    },
    Heal,
}

#[derive(Clone, Debug)]
struct Seed(u64);

struct Machine;

impl ReferenceStateMachine for Machine {
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
            2 => (0..DOMAINS, 0..DOMAINS).prop_map(|(a, b)| Step::Cut { a, b }),
            2 => (0..DOMAINS).prop_map(Step::CutStore),
            1 => Just(Step::StoreDown),
            1 => (0..300_u64, 0..300_u64, 0..3000_u64)
                .prop_map(|(loss, duplicates, delay)| Step::Net { loss, duplicates, delay }),
            2 => (0..DOMAINS * VMS, any::<bool>()).prop_map(|(node, same_id)| Step::Replace { node, same_id }),
            2 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: Seed, _: &Step) -> Seed {
        state
    }
}

struct Sut {
    cluster: Cluster,
    oracle: Oracle,
    /// The path and version that each operator read.
    read: [(usize, Revision); 2],
    /// Updates that the store acknowledged.
    acknowledged: Vec<(usize, Revision, Vec<u8>)>,
    written: u64,
}

fn value(path: &str, content: Content, number: u64) -> Vec<u8> {
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
        let mut left = span;
        while left > 0 {
            let part = left.min(200);
            self.cluster.run(Millis(part));
            self.oracle.check(&self.cluster);
            left -= part;
        }
    }

    fn write(&mut self, operator: usize, content: Content) {
        let (path, expected) = self.read[operator];
        self.written += 1;
        let value = value(PATHS[path], content, self.written);
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

    /// Fails if an acknowledged update was overwritten by one whose operator did not know it.
    fn check_acknowledged(&self) {
        for (path, version, value) in &self.acknowledged {
            let write = self.cluster.store.find_write(*version);
            assert_eq!(write.path, PATHS[*path], "an update is lost");
            assert_eq!(write.value, *value, "an update is lost");
        }
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Sut;
    type Reference = Self;

    fn init_test(seed: &Seed) -> Sut {
        let settings = PullSettings {
            // Small enough that most transfers take several pages.
            page_bytes: 300,
            ..PullSettings::default()
        };
        Sut {
            cluster: Cluster::new(DOMAINS, VMS, seed.0, settings),
            oracle: Oracle::default(),
            read: [(0, Revision(0)); 2],
            acknowledged: Vec::new(),
            written: 0,
        }
    }

    fn apply(mut sut: Sut, _: &Seed, step: Step) -> Sut {
        match step {
            Step::Run(span) => sut.run(span),
            Step::Read { operator, path } => {
                sut.read[operator] = (path, sut.cluster.store.version(PATHS[path]));
            }
            Step::Write { operator, content } => sut.write(operator, content),
            Step::WriteElsewhere => sut.cluster.store.write_unrelated_object(),
            Step::Cut { a, b } => {
                sut.cluster.partitions.insert((a.min(b), a.max(b)));
            }
            Step::CutStore(domain) => {
                sut.cluster.partitions.insert((domain, STORE_DOMAIN));
            }
            Step::StoreDown => sut.cluster.store.down = true,
            Step::Net {
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
            Step::Replace { node, same_id } => sut.cluster.replace_process(node, same_id),
            Step::Heal => sut.heal(),
        }
        sut.oracle.update_connectivity(&sut.cluster);
        sut.oracle.check(&sut.cluster);
        sut
    }

    fn teardown(mut sut: Sut) {
        sut.heal();
        sut.run(PROPAGATION_BOUND.0 + 200);
        sut.check_acknowledged();
        let newest = sut.cluster.store.changes_after(Revision(0));
        for node in &sut.cluster.nodes {
            for record in &newest {
                let held = node.config.versions(&record.path).map(|v| v.0);
                assert_eq!(held, Some(record.version), "{} at {}", node.id, record.path);
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against records that go back, news that is lost and revisions that promise too much.
    #[test]
    fn replicas_converge_and_never_go_back(sequential 5..40 => Machine);
}
