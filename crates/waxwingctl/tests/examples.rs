//! The example records.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use async_executor::Executor;
use async_io::block_on;
use waxwing_records::{Document, Kind, Record, split_records};
use waxwing_testkit::MemoryStore;
use waxwingctl::{Exit, Sources, parse, run};

const KINDS: [&str; 6] = [
    "blocks",
    "keys",
    "regions",
    "services",
    "shift",
    "workspaces",
];

fn files(deployment: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment);
    let file = |kind: &&str| root.join(format!("{kind}.json")).display().to_string();
    KINDS.iter().map(file).collect()
}

fn records(deployment: &str) -> Vec<Document> {
    let split = |file: &String| split_records(&std::fs::read(file).unwrap()).unwrap();
    let values = files(deployment).iter().flat_map(split).collect::<Vec<_>>();
    let parse = |value: &serde_json::Value| Document::parse(value.to_string().as_bytes()).unwrap();
    values.iter().map(parse).collect()
}

/// Guards against example records that do not apply, or of which one deployment disturbs the other.
#[test]
fn both_deployments_apply_to_one_store() {
    let store = MemoryStore::new();
    for deployment in ["kain-bersih", "kerlann"] {
        let line = format!("apply --store 127.0.0.1:1 {}", files(deployment).join(" "));
        let settings = parse(line.split(' ').map(Into::into), |_| None).unwrap();
        let executor = Arc::new(Executor::new());
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let sources = Sources {
            store: Some(&store),
            registry: None,
        };
        let exit = block_on(run(&executor, &settings, sources, &mut out, &mut err));
        let (out, err) = (
            String::from_utf8(out).unwrap(),
            String::from_utf8(err).unwrap(),
        );
        assert_eq!(exit, Exit::Done, "{err}");
        assert!(!out.contains(": changed ("), "{out}");
    }
}

/// Guards against examples that drift from the counts of section 1.1 of the design page.
#[test]
fn examples_have_the_counts_of_the_design_page() {
    for (deployment, counts, slots) in
        [("kain-bersih", 12..=14, 3..=9), ("kerlann", 12..=16, 3..=6)]
    {
        let records = records(deployment);
        let mut kinds: BTreeMap<Kind, usize> = BTreeMap::new();
        for record in &records {
            *kinds.entry(record.id.kind).or_default() += 1;
            match record.record.as_ref().unwrap() {
                Record::Service(service) => {
                    assert!(counts.contains(&service.targets.len()), "{}", record.id);
                    let slots_fit = service.targets.iter().all(|t| slots.contains(&t.slots));
                    assert!(slots_fit, "{}", record.id);
                }
                Record::Region(region) => {
                    assert_eq!(region.domains.len(), 2);
                    assert!(region.links.iter().all(|l| l.rate == 500_000_000));
                }
                Record::Workspace(_) | Record::Key(_) | Record::Shift(_) | Record::Blocks(_) => {}
            }
        }
        let expected = [
            (Kind::Workspace, 8),
            (Kind::Key, 8),
            (Kind::Service, 3),
            (Kind::Region, 3),
            (Kind::Shift, 1),
            (Kind::Blocks, 1),
        ];
        assert_eq!(kinds, BTreeMap::from(expected), "{deployment}");
    }
}
