//! Runs commands against the store double in process.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_executor::Executor;
use async_io::block_on;
use serde_json::{Value, json};
use waxwing_store::{ReadOutcome, Store};
use waxwing_testkit::MemoryStore;
use waxwing_types::Millis;
use waxwingctl::{Exit, Sources, parse, run};

/// What a command printed and how it ended.
pub(crate) struct Ran {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs a command line, split at spaces.
pub(crate) async fn ctl_async(store: &dyn Store, line: &str) -> Ran {
    let sources = Sources {
        store: Some(store),
        registry: None,
    };
    ctl_sources(sources, line).await
}

/// As [`ctl_async`], against any sources.
pub(crate) async fn ctl_sources(sources: Sources<'_>, line: &str) -> Ran {
    let args = line.split(' ').map(Into::into);
    let set = ["WAXWINGCTL_STORE", "WAXWINGCTL_REGISTRY"];
    let env = |name: &str| set.contains(&name).then(|| "127.0.0.1:1".to_owned());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = match parse(args, env) {
        Ok(settings) => {
            let executor = Arc::new(Executor::new());
            run(&executor, &settings, sources, &mut out, &mut err).await
        }
        Err(faults) => panic!("{faults:?}"),
    };
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Ran {
        exit,
        out: text(out),
        err: text(err),
    }
}

/// As [`ctl_async`], to its end.
pub(crate) fn ctl(store: &dyn Store, line: &str) -> Ran {
    block_on(ctl_async(store, line))
}

/// A file in the directory of temporary files, removed at the end.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(content: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("waxwingctl-test-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).unwrap();
        Self(path)
    }

    pub(crate) fn command(&self) -> String {
        format!("apply {}", self.0.display())
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

pub(crate) fn workspace(name: &str, rate: u64) -> Value {
    json!({"schema": 2, "kind": "workspace", "name": name,
        "spec": {"limit": {"rate": rate, "burst": 40}, "weight": 1}})
}

pub(crate) fn value_at(store: &MemoryStore, path: &str) -> Value {
    match block_on(store.get(path, Millis(1000))) {
        ReadOutcome::Found(object) => serde_json::from_slice(&object.value).unwrap(),
        ReadOutcome::Absent | ReadOutcome::Unreachable(_) => Value::Null,
    }
}
