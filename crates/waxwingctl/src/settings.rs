//! Settings from flags and environment variables.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt};
use waxwing_records::{Kind, RecordName};
use waxwing_store::Family;
use waxwing_types::{Millis, common_derives};

/// Shortest time for which idempotency records are kept (design page, section 5).
const MIN_SWEEP_HOURS: u64 = 24;
/// Time for one call to the store, if nothing sets it.
const TIMEOUT: Millis = Millis::from_secs(5);

common_derives! {
    /// The question of `explain`.
    pub struct Explain {
        /// Workspace of the caller.
        pub workspace: String,
        /// Service.
        pub service: String,
        /// Method.
        pub method: String,
        /// Path below the service.
        pub path: String,
    }
}

common_derives! {
    /// What to do.
    pub enum Command {
        /// Write the records of files; `-` is the standard input.
        Apply(Vec<PathBuf>),
        /// Withdraw a record.
        Withdraw(RecordName),
        /// Print records of a kind, one record, or all.
        Get(Option<Kind>, Option<String>),
        /// Print changes as they come; stop after this many.
        Watch(Option<u64>),
        /// Print the entries of a family of the platform's registry, or the one of a name.
        Entries(Family, Option<String>),
        /// Print the state of the failure domains.
        Status,
        /// Ask an edge daemon which targets get no requests because of what they said.
        Notices,
        /// Ask a daemon how it would treat a request.
        Explain(Explain),
        /// Delete idempotency records older than this many hours.
        Sweep(u64),
        /// Make a key for a workspace, under a public id if one is given.
        KeyNew(String, Option<String>),
        /// Print the usage.
        Help,
    }
}

common_derives! {
    /// All settings.
    pub struct Settings {
        /// What to do.
        pub command: Command,
        /// Address of the store.
        pub store: Option<SocketAddr>,
        /// Address of the platform's registry.
        pub registry: Option<SocketAddr>,
        /// Admin address of a daemon, for edge daemons that of the metrics.
        pub admin: Option<SocketAddr>,
        /// Time for one call.
        pub timeout: Millis,
        /// Whether to print JSON.
        pub json: bool,
    }
}

/// Flags as text, before they are checked together.
#[derive(Default)]
struct Raw {
    words: Vec<String>,
    flags: Vec<(String, String)>,
    json: bool,
    help: bool,
    faults: Vec<String>,
}

/// Flags that take a value, and the commands that take them.
const FLAGS: &[(&str, &[&str])] = &[
    ("store", &[]),
    ("registry", &["entries"]),
    ("admin", &[]),
    ("timeout-ms", &[]),
    ("workspace", &["explain", "key"]),
    ("service", &["explain"]),
    ("method", &["explain"]),
    ("path", &["explain"]),
    ("older-than", &["sweep"]),
    ("changes", &["watch"]),
    ("id", &["key"]),
];

/// Reads the settings. `env` returns an environment variable.
///
/// # Errors
/// All faults of the command line and the environment.
pub fn parse(
    args: impl Iterator<Item = OsString>,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Settings, Vec<String>> {
    let mut raw = read(args);
    let word = raw.words.first().cloned().unwrap_or_default();
    let command = if raw.help {
        Some(Command::Help)
    } else {
        command(&mut raw)
    };
    let store = raw.setting("store", "WAXWINGCTL_STORE", &env);
    let registry = raw.setting("registry", "WAXWINGCTL_REGISTRY", &env);
    let admin = raw.setting("admin", "WAXWINGCTL_ADMIN", &env);
    let timeout = raw.setting("timeout-ms", "WAXWINGCTL_TIMEOUT_MS", &env);
    let json = raw.json || env("WAXWINGCTL_JSON").is_some_and(|v| v == "1");
    if !raw.help {
        let missing = [
            ("store", store.is_none()),
            ("registry", registry.is_none()),
            ("admin", admin.is_none()),
        ];
        raw.check_addresses(&word, missing);
    }
    if timeout == Some(0) {
        raw.faults.push("--timeout-ms: expected at least 1".into());
    }
    match command {
        Some(command) if raw.faults.is_empty() => Ok(Settings {
            command,
            store,
            registry,
            admin,
            timeout: timeout.map_or(TIMEOUT, Millis),
            json,
        }),
        Some(_) | None => Err(raw.faults),
    }
}

fn read(args: impl Iterator<Item = OsString>) -> Raw {
    let mut raw = Raw::default();
    let mut parser = Parser::from_args(args);
    loop {
        match raw.read_one(&mut parser) {
            Ok(true) => {}
            Ok(false) => return raw,
            Err(fault) => raw.faults.push(fault),
        }
    }
}

fn command(raw: &mut Raw) -> Option<Command> {
    let words = std::mem::take(&mut raw.words);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    raw.check_flags(words.first().copied().unwrap_or_default());
    match words.as_slice() {
        ["apply", files @ ..] if !files.is_empty() => {
            Some(Command::Apply(files.iter().map(PathBuf::from).collect()))
        }
        ["withdraw", kind, name] => raw.kind(kind).map(|kind| {
            let name = (*name).into();
            Command::Withdraw(RecordName { kind, name })
        }),
        ["get"] => Some(Command::Get(None, None)),
        ["get", kind] => raw.kind(kind).map(|kind| Command::Get(Some(kind), None)),
        ["get", kind, name] => raw
            .kind(kind)
            .map(|kind| Command::Get(Some(kind), Some((*name).to_owned()))),
        ["watch"] => Some(Command::Watch(raw.number("changes"))),
        ["entries", family] => raw.family(family).map(|f| Command::Entries(f, None)),
        ["entries", family, name] => raw
            .family(family)
            .map(|family| Command::Entries(family, Some((*name).to_owned()))),
        ["status"] => Some(Command::Status),
        ["notices"] => Some(Command::Notices),
        ["explain"] => raw.explain(),
        ["sweep"] => raw.sweep(),
        ["key", "new"] => raw.key_new(),
        [] => raw.fault("expected a command; see --help"),
        [name, ..] => raw.fault(&format!(
            "\"{name}\": unknown command or wrong number of arguments; see --help"
        )),
    }
}

/// Queries.
impl Raw {
    fn flag(&self, name: &str) -> Option<&str> {
        let given = self.flags.iter().rev();
        given
            .filter(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
            .next()
    }
}

/// Commands.
impl Raw {
    fn fault<T>(&mut self, text: &str) -> Option<T> {
        self.faults.push(text.to_owned());
        None
    }

    /// Reads one flag with its value, or one word. Returns false at the end.
    fn read_one(&mut self, parser: &mut Parser) -> Result<bool, String> {
        let name = match parser.next().map_err(|e| e.to_string())? {
            None => return Ok(false),
            Some(Arg::Value(word)) => {
                self.words.push(word.string().map_err(|e| e.to_string())?);
                return Ok(true);
            }
            Some(Arg::Short('h')) => "help".to_owned(),
            Some(Arg::Short(name)) => return Err(format!("-{name}: unknown flag")),
            Some(Arg::Long(name)) => name.to_owned(),
        };
        match name.as_str() {
            "json" => self.json = true,
            "help" => self.help = true,
            known if FLAGS.iter().any(|(flag, _)| *flag == known) => {
                let value = parser.value().and_then(ValueExt::string);
                let value = value.map_err(|e| e.to_string())?;
                self.flags.push((name, value));
            }
            unknown => {
                // Without this the parser reports an attached value as a second fault.
                let _attached = parser.optional_value();
                return Err(format!("--{unknown}: unknown flag"));
            }
        }
        Ok(true)
    }

    fn kind(&mut self, name: &str) -> Option<Kind> {
        let kind = Kind::from_name(name);
        if kind.is_none() {
            let known: Vec<_> = Kind::ALL.iter().map(|k| k.as_str()).collect();
            let known = known.join(", ");
            self.faults
                .push(format!("\"{name}\": unknown kind, expected one of {known}"));
        }
        kind
    }

    fn family(&mut self, name: &str) -> Option<Family> {
        let family = Family::ALL.into_iter().find(|f| f.as_str() == name);
        if family.is_none() {
            let known = Family::ALL.map(Family::as_str).join(", ");
            self.faults.push(format!(
                "\"{name}\": unknown family, expected one of {known}"
            ));
        }
        family
    }

    fn required(&mut self, name: &str) -> Option<String> {
        let value = self.flag(name).map(str::to_owned);
        if value.is_none() {
            self.faults.push(format!("--{name}: missing"));
        }
        value
    }

    fn number(&mut self, name: &str) -> Option<u64> {
        let text = self.flag(name)?.to_owned();
        let number = text.parse().ok();
        if number.is_none() {
            self.faults
                .push(format!("--{name}: expected a number, got \"{text}\""));
        }
        number
    }

    fn explain(&mut self) -> Option<Command> {
        let workspace = self.required("workspace");
        let service = self.required("service");
        let method = self.required("method");
        let path = self.required("path");
        Some(Command::Explain(Explain {
            workspace: workspace?,
            service: service?,
            method: method?,
            path: path?,
        }))
    }

    fn sweep(&mut self) -> Option<Command> {
        self.required("older-than")?;
        let hours = self.number("older-than")?;
        if hours < MIN_SWEEP_HOURS {
            return self.fault(&format!(
                "--older-than: expected at least {MIN_SWEEP_HOURS} hours, got {hours}"
            ));
        }
        Some(Command::Sweep(hours))
    }

    fn key_new(&mut self) -> Option<Command> {
        let workspace = self.required("workspace")?;
        Some(Command::KeyNew(
            workspace,
            self.flag("id").map(str::to_owned),
        ))
    }

    /// Reports flags that the command does not take.
    fn check_flags(&mut self, command: &str) {
        for (flag, commands) in FLAGS {
            if self.flag(flag).is_some() && !commands.is_empty() && !commands.contains(&command) {
                let fault = format!("--{flag}: \"{command}\" does not take this flag");
                self.faults.push(fault);
            }
        }
    }

    /// Reports the address that the command needs and nothing sets.
    fn check_addresses(&mut self, command: &str, missing: [(&str, bool); 3]) {
        let name = match command {
            "apply" | "withdraw" | "get" | "watch" | "status" | "sweep" => "store",
            "entries" => "registry",
            "explain" | "notices" => "admin",
            _ => return,
        };
        let missing = missing.contains(&(name, true));
        let flag = format!("--{name}");
        let faulty = self.faults.iter().any(|f| f.starts_with(&flag));
        if missing && !faulty {
            let variable = name.to_ascii_uppercase();
            self.faults
                .push(format!("{flag} IP:PORT or WAXWINGCTL_{variable}: missing"));
        }
    }

    /// A setting from its flag or else from its environment variable.
    fn setting<T: std::str::FromStr>(
        &mut self,
        name: &str,
        variable: &str,
        env: impl Fn(&str) -> Option<String>,
    ) -> Option<T> {
        let (place, text) = match self.flag(name) {
            Some(text) => (format!("--{name}"), text.to_owned()),
            None => (format!("--{name} ({variable})"), env(variable)?),
        };
        let value = text.parse().ok();
        if value.is_none() {
            self.faults.push(format!("{place}: cannot read \"{text}\""));
        }
        value
    }
}
