//! Runs a command.

use std::ffi::OsString;
use std::io::Write;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use waxwing_http::{Client, ClientLimits};
use waxwing_platform::PlatformRegistry;
use waxwing_records::RecordName;
use waxwing_store::{HttpStore, Registry, Store};

use crate::command::{apply, entries, explain, get, key, status, sweep, watch};
use crate::report::Console;
use crate::{Command, Exit, Settings, parse};

const USAGE: &str = "\
Usage: waxwingctl [OPTION]... COMMAND

Commands:
  apply FILE...            write records; a file holds one record, several, or lists of them, or
                           what `get --json` prints, which is then written only over that version;
                           `-` is the standard input
  withdraw KIND NAME       withdraw a record
  get [KIND [NAME]]        print records
  watch [--changes N]      print changes of records as they come; stop after N
  entries FAMILY [NAME]    print entries of the platform's registry: deployment, targets, evacuations, vms
  notices                  print the targets to which an edge daemon sends nothing because they said that they are
                           leaving, or asked for a pause
  status                   print revision in force, its age and VMs of each failure domain
  explain --workspace W --service S --method M --path P
                           ask a daemon how it would treat a request
  sweep --older-than HOURS delete idempotency records of at least 24 hours of age
  key new --workspace W [--id ID]
                           make a key; print it once, with the record to apply

Options, with the environment variable that sets them; a flag takes precedence:
  --store IP:PORT          WAXWINGCTL_STORE       address of the store
  --registry IP:PORT       WAXWINGCTL_REGISTRY    address of the platform's registry, for entries
  --admin IP:PORT          WAXWINGCTL_ADMIN       admin address of a daemon, for explain; metrics address of an
                                                  edge daemon, for notices
  --timeout-ms N           WAXWINGCTL_TIMEOUT_MS  time for one call (default 5000)
  --json                   WAXWINGCTL_JSON=1      print JSON
  --help

Exit codes:
";

/// Runs the command line and returns its exit code.
pub fn main(
    args: impl Iterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let settings = match parse(args, env) {
        Ok(settings) => settings,
        Err(faults) => {
            let json = false;
            return Console { json, out, err }.fail(Exit::Usage, &faults);
        }
    };
    let executor = Arc::new(Executor::new());
    let client = Client::new(Arc::clone(&executor), ClientLimits::default());
    let store = settings
        .store
        .map(|address| HttpStore::new(client.clone(), address));
    let registry = settings
        .registry
        .map(|address| PlatformRegistry::new(client, address));
    let sources = Sources {
        store: store.as_ref().map(|s| s as &dyn Store),
        registry: registry.as_ref().map(|r| r as &dyn Registry),
    };
    async_io::block_on(executor.run(run(&executor, &settings, sources, out, err)))
}

/// Where commands read and write, as far as settings name it.
#[derive(Clone, Copy, Default)]
pub struct Sources<'a> {
    /// The product's own store.
    pub store: Option<&'a dyn Store>,
    /// The entries of a deployment on the platform.
    pub registry: Option<&'a dyn Registry>,
}

/// Runs a command against a store or a registry.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    settings: &Settings,
    sources: Sources<'_>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Exit {
    let json = settings.json;
    let mut console = Console { json, out, err };
    let timeout = settings.timeout;
    match (&settings.command, sources.store, settings.admin) {
        (Command::Help, _, _) => {
            let _ = write!(console.out, "{USAGE}{}", codes());
            Exit::Done
        }
        (Command::KeyNew(workspace, id), _, _) => {
            key::key_new(&mut console, workspace, id.as_deref())
        }
        (Command::Explain(question), _, Some(admin)) => {
            explain::explain(&mut console, executor, admin, question, timeout).await
        }
        (Command::Notices, _, Some(admin)) => {
            explain::print_answer(&mut console, executor, admin, "/v1/notices", timeout).await
        }
        (Command::Entries(family, name), _, _) => {
            let Some(registry) = sources.registry else {
                return console.fail(Exit::Usage, &["--registry: missing".into()]);
            };
            entries::entries(&mut console, registry, *family, name.as_deref(), timeout).await
        }
        (command, Some(store), _) => with_store(&mut console, settings, command, store).await,
        (_, None, _) => console.fail(Exit::Usage, &["--store or --admin: missing".into()]),
    }
}

async fn with_store(
    console: &mut Console<'_>,
    settings: &Settings,
    command: &Command,
    store: &dyn Store,
) -> Exit {
    let timeout = settings.timeout;
    match command {
        Command::Apply(files) => apply::apply(console, store, files, timeout).await,
        Command::Withdraw(id) => apply::withdraw(console, store, id, timeout).await,
        Command::Get(Some(kind), Some(name)) => {
            let (kind, name) = (*kind, name.into());
            get::get_one(console, store, &RecordName { kind, name }, timeout).await
        }
        Command::Get(kind, _) => get::get_all(console, store, *kind, timeout).await,
        Command::Watch(limit) => watch::watch(console, store, *limit, timeout).await,
        Command::Status => status::status(console, store, unix_secs(), timeout).await,
        Command::Sweep(hours) => sweep::sweep(console, store, *hours, unix_secs(), timeout).await,
        Command::Explain(_)
        | Command::Notices
        | Command::Entries(..)
        | Command::KeyNew(..)
        | Command::Help => console.fail(Exit::Usage, &["--admin: missing".into()]),
    }
}

fn codes() -> String {
    let line = |exit: &Exit| format!("  {}  {}\n", exit.number(), exit.meaning());
    Exit::ALL.iter().map(line).collect()
}

fn unix_secs() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}
