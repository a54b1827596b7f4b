//! The other commands and the settings.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use async_io::{Timer, block_on};
use common::{Ran, TempFile, ctl, ctl_async, ctl_sources, value_at, workspace};
use futures_lite::future;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use waxwing_http::{Body, Handler, Server, ServerLimits};
use waxwing_records::{CallerLimits, Deployment, Document, KeyHash, Record, WorkspaceSpec};
use waxwing_store::{Condition, Entry, Family, Store};
use waxwing_testkit::{MemoryRegistry, MemoryStore};
use waxwing_types::Millis;
use waxwingctl::{Exit, Sources, parse, run};

fn put(store: &MemoryStore, path: &str, value: &str) {
    let value = value.as_bytes().to_vec();
    block_on(store.put(path, value, Condition::Absent, Millis(1000)));
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs()
}

/// Guards against a key whose record does not match it, or that repeats.
#[test]
fn key_new_prints_a_key_and_a_record_that_matches() {
    let store = MemoryStore::new();
    let made: Vec<Value> = (0..2)
        .map(|_| serde_json::from_str(&ctl(&store, "key new --workspace w --json").out).unwrap())
        .collect();
    assert_ne!(made[0]["key"], made[1]["key"]);
    let key = made[0]["key"].as_str().unwrap();
    let record = made[0]["record"].to_string();
    let document = Document::parse(record.as_bytes()).unwrap();
    let (id, secret) = key.split_once('.').unwrap();
    assert_eq!((document.id.name.as_str(), secret.len()), (id, 64));
    let Some(Record::Key(parsed)) = document.record else {
        panic!("expected a key");
    };
    assert!(parsed.hash.matches(&KeyHash::of(key)));
    assert!(!record.contains(secret));
    assert_eq!(ctl(&store, "key new --workspace a/b").exit, Exit::Invalid);
}

/// Guards against a sweep that deletes a record within its time, or one whose age is not known.
#[test]
fn sweep_deletes_only_old_records() {
    let store = MemoryStore::new();
    let hours_ago = |hours: u64| format!("answered 200 00ff created={}", now() - hours * 3600);
    put(&store, "claims/old", &hours_ago(31));
    put(&store, "claims/young", &hours_ago(29));
    put(&store, "claims/undated", "answered 200 00ff");
    let ran = ctl(&store, "sweep --older-than 30 --json");
    assert_eq!((ran.exit, ran.err.as_str()), (Exit::Done, ""));
    let report: Value = serde_json::from_str(&ran.out).unwrap();
    let expected = json!({"deleted": 1, "kept": 1, "undated": 1, "changed": 0, "unknown": 0});
    assert_eq!(report, expected);
    assert_eq!(value_at(&store, "claims/old"), Value::Null);
    assert_eq!(store.stats().deletes, 1);
}

fn put_status(store: &MemoryStore, domain: &str, revision: u64, age_ms: u64, written: u64) {
    let status = json!({"vm": "v1", "revision": revision, "age_ms": age_ms,
        "live": 30, "leaving": 1, "written": written});
    put(store, &format!("status/{domain}"), &status.to_string());
}

/// Guards against a late or silent failure domain that is lost among 32, or looks well.
#[test]
fn status_shows_each_failure_domain_and_what_is_wrong() {
    let store = MemoryStore::new();
    put(&store, "config/key/a", "{}");
    put(&store, "config/key/b", "{}");
    for i in 0..29 {
        put_status(&store, &format!("north-{i:02}"), 2, 400, now() - 5);
    }
    put_status(&store, "x-behind", 1, 900, now() - 5);
    put_status(&store, "y-late", 1, 95_000, now() - 5);
    put_status(&store, "z-silent", 2, 400, now() - 600);
    let ran = ctl(&store, "status");
    assert_eq!(ran.exit, Exit::Done);
    let lines: Vec<&str> = ran.out.lines().collect();
    assert_eq!(lines.len(), 34);
    assert_eq!(
        lines[0],
        "32 failure domains: 29 ok, 1 behind, 1 late, 1 without report; VMs: 960 live, 32 leaving"
    );
    let words = |i: usize| lines[i].split_whitespace().take(6).collect::<Vec<_>>();
    assert_eq!(words(2), ["north-00", "ok", "2", "0", "0.4", "s"]);
    assert_eq!(words(31), ["x-behind", "behind", "1", "1", "0.9", "s"]);
    assert_eq!(words(32), ["y-late", "late", "1", "1", "95.0", "s"]);
    assert_eq!(words(33)[..3], ["z-silent", "no", "report"]);
    assert!(lines.iter().all(|l| l.len() <= 100));
}

/// Runs a watch for one change and a command once the watch waits.
fn watch_one(store: &MemoryStore, line: &str) -> String {
    let before = store.stats().changes;
    let operator = async {
        // The watch first lists what there is, then waits for what comes.
        while store.stats().changes < before + 2 {
            Timer::after(Duration::from_millis(2)).await;
        }
        ctl_async(store, line).await
    };
    let watch = ctl_async(store, "watch --changes 1");
    let (watched, operated) = block_on(future::zip(watch, operator));
    assert_eq!((watched.exit, operated.exit), (Exit::Done, Exit::Done));
    watched.out
}

/// Guards against a watch that misses a change or shows one that came before.
#[test]
fn watch_prints_changes_with_their_differences() {
    let store = MemoryStore::new();
    let apply = |rate| TempFile::new(&workspace("clinic", rate).to_string());
    ctl(&store, &apply(10).command());
    let changed = watch_one(&store, &apply(20).command());
    let expected = "workspace/clinic: changed (version 2)\n    spec.limit.rate: 10 -> 20\n";
    assert_eq!(changed, expected);
    let withdrawn = watch_one(&store, "withdraw workspace clinic");
    assert_eq!(withdrawn, "workspace/clinic: withdrawn (version 3)\n");
}

/// Guards against a table that leaves records out, and against an empty answer for a missing one.
#[test]
fn get_prints_a_table_or_one_record() {
    let store = MemoryStore::new();
    for name in ["b", "a"] {
        ctl(
            &store,
            &TempFile::new(&workspace(name, 10).to_string()).command(),
        );
    }
    ctl(&store, "withdraw workspace b");
    let rows: Vec<String> = ctl(&store, "get workspace")
        .out
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "))
        .collect();
    let expected = [
        "RECORD SCHEMA VERSION STATE",
        "workspace/a 2 2 in force",
        "workspace/b 1 3 withdrawn",
    ];
    assert_eq!(rows, expected);
    assert!(
        ctl(&store, "get workspace a")
            .out
            .starts_with("workspace/a (version 2)\n{")
    );
    assert_eq!(ctl(&store, "get workspace c").exit, Exit::Absent);
}

struct Admin;

impl Handler for Admin {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            if request.uri().path() == "/v1/notices" {
                let answer = json!({"targets": [{"id": "t-0", "why": ["leaving"]}]});
                return waxwing_http::json(StatusCode::OK, answer.to_string());
            }
            let answer = json!({"query": request.uri().query(), "limits": ["workspace/w"],
                "targets": [{"name": "t-0", "usable": true}]});
            waxwing_http::json(StatusCode::OK, answer.to_string())
        })
    }
}

/// Runs a command line, to which the address of a daemon is added, and returns what it prints.
fn print_from_daemon(command: &str) -> String {
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let limits = ServerLimits::default();
        let server = Server::start(&executor, any, limits, Arc::new(Admin))
            .await
            .unwrap();
        let line = format!("{command} --admin {}", server.address());
        let settings = parse(line.split(' ').map(Into::into), |_| None).unwrap();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = run(&executor, &settings, Sources::default(), &mut out, &mut err).await;
        assert_eq!(exit, Exit::Done);
        String::from_utf8(out).unwrap()
    }))
}

/// Guards against a path that reaches the daemon cut off at a special character.
#[test]
fn explain_asks_the_daemon_and_prints_an_outline() {
    let out = print_from_daemon("explain --workspace w --service s --method GET --path /a?b=1&c");
    let expected = "limits: workspace/w\n\
                    query: workspace=w&service=s&method=GET&path=/a%3Fb%3D1%26c\n\
                    targets:\n  -\n    name: t-0\n    usable: true\n";
    assert_eq!(out, expected);
}

/// Guards against notices that are asked for at a path that the daemon does not serve.
#[test]
fn notices_prints_the_targets_that_get_no_requests() {
    let out = print_from_daemon("notices");
    assert_eq!(out, "targets:\n  -\n    id: t-0\n    why: leaving\n");
}

/// Guards against a command line whose second fault is found only after the first was mended.
#[test]
fn settings_report_all_faults() {
    let faults = |line: &str| parse(line.split(' ').map(Into::into), |_| None).unwrap_err();
    let found = faults("sweep --older-than 23 --store here --colour=red --id k");
    assert_eq!(found.len(), 4, "{found:?}");
    let found = faults("explain --service s");
    assert_eq!(found.len(), 4, "{found:?}");
    assert_eq!(faults("withdraw door x").len(), 2);
    assert_eq!(
        faults("status"),
        ["--store IP:PORT or WAXWINGCTL_STORE: missing"]
    );
    let env = |name: &str| (name == "WAXWINGCTL_STORE").then(|| "nowhere".to_owned());
    let found = parse(["status".into()].into_iter(), env).unwrap_err();
    assert_eq!(
        found,
        ["--store (WAXWINGCTL_STORE): cannot read \"nowhere\""]
    );
}

/// Guards against an exit code that the usage does not explain.
#[test]
fn help_lists_every_exit_code() {
    let out = ctl(&MemoryStore::new(), "--help").out;
    for exit in Exit::ALL {
        assert!(out.contains(&format!("  {}  {}\n", exit.number(), exit.meaning())));
    }
}

fn entries(registry: &MemoryRegistry, line: &str) -> Ran {
    let sources = Sources {
        store: None,
        registry: Some(registry),
    };
    block_on(ctl_sources(sources, line))
}

fn deployment() -> Entry {
    Entry::Deployment(Deployment {
        schema: 1,
        version: 7,
        routes: Vec::new(),
        services: Vec::new(),
        workspaces: Some(vec![WorkspaceSpec {
            id: "w".into(),
            keys: vec!["secret-1".into(), "secret-2".into()],
            rank: 0,
            rate: 0,
            burst: 0,
            homes: Vec::new(),
        }]),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_time: Millis(1),
            idle_time: Millis(1),
        },
    })
}

/// Guards against keys that end in a terminal or a log.
#[test]
fn a_deployment_is_shown_without_its_keys() {
    let registry = MemoryRegistry::default();
    registry.put(Family::Deployment, "main", deployment());
    let shown = entries(&registry, "entries deployment --json");
    assert_eq!(shown.exit, Exit::Done);
    assert!(!shown.out.contains("secret"), "{}", shown.out);
    let value: Value = serde_json::from_str(&shown.out).unwrap();
    assert_eq!(value[0]["entry"]["version"], json!(7));
    assert_eq!(value[0]["entry"]["workspaces"][0]["keys"], json!(2));
}

/// Guards against an entry that cannot be read and is left out, and an absent one that seems to be shown.
#[test]
fn entries_that_cannot_be_read_are_shown_with_the_reason() {
    let registry = MemoryRegistry::default();
    registry.put(
        Family::Targets,
        "t1",
        Entry::Unreadable("no address".into()),
    );
    let shown = entries(&registry, "entries targets t1");
    assert!(shown.out.contains("no address"), "{}", shown.out);
    assert_eq!(entries(&registry, "entries targets t2").exit, Exit::Absent);
    registry.set_down(true);
    assert_eq!(entries(&registry, "entries targets").exit, Exit::Failed);
}

/// Guards against a family that is not known and a flag that another command takes.
#[test]
fn faults_of_the_command_line_are_reported_together() {
    let args = "entries nonsense --changes 1".split(' ').map(Into::into);
    let faults = parse(args, |_| None).unwrap_err();
    assert_eq!(faults.len(), 3, "{faults:?}");
}
