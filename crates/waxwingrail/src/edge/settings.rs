//! Settings of the edge daemon, from flags and environment variables. All faults are reported together.

use std::ffi::OsString;
use std::net::SocketAddr;

use log::LevelFilter;
use waxwing_records::Findings;
use waxwing_types::{DomainId, Millis, RegionId, VmId, common_derives};

use crate::settings::LogFormat;
use crate::settings::parse::{self, Mode, Values};
use crate::settings::table::{self, Setting, optional, required};

const USAGE: &str =
    "waxwingrail edge [--check] --vm NAME --domain NAME --region NAME --store IP:PORT";

#[rustfmt::skip]
const TABLE: &[Setting] = &[
    required("vm", "name", "id of this VM"),
    required("domain", "name", "failure domain of this VM"),
    required("region", "name", "region of this VM"),
    required("domains", "list", "failure domains with their regions: DOMAIN=REGION,..."),
    required("store", "IP:port", "address of the platform's object store"),
    required("listen", "IP:port", "address for callers"),
    required("directory", "IP:port", "address for callers that ask for entry VMs"),
    required("readiness", "IP:port", "address for checks of readiness"),
    required("peer", "IP:port", "address for datagrams of other VMs"),
    optional("metrics", "IP:port", "127.0.0.1:0", "address for reads of the metrics, /metrics; port 0: any"),
    optional("workers", "threads", "1", "worker threads; auto: one per core"),
    optional("log-level", "level", "info", "error, warn, info, debug or trace"),
    optional("log-format", "format", "text", "text or json"),
    optional("max-connections", "number", "1500", "open connections of callers"),
    optional("idle-connections", "number", "24", "idle connections kept to each target"),
    optional("connect-timeout-ms", "ms", "400", "time for opening a connection to a target"),
    optional("store-timeout-ms", "ms", "1500", "time for a call to the store"),
    optional("history-s", "s", "20", "time for which the store keeps its history"),
    optional("apply-ms", "ms", "2500", "time within which a change of the deployment is in force"),
    optional("drain-ms", "ms", "2500", "time after which a target that leaves gets no request"),
    optional("retry-window-s", "s", "10", "window of the budget of repeated requests"),
    optional("retry-ratio", "part", "0.1", "repeated requests for each request, over all VMs"),
    optional("retry-slack", "number", "20", "repeated requests in a window whatever the requests, over all VMs"),
    optional("lifetime-s", "s", "2", "time for which callers may keep an answer of the directory"),
    optional("grace-s", "s", "6", "time from a stop signal to the end of the process"),
];

common_derives! {
    /// The settings of an edge daemon. The table behind `--help` documents them.
    #[allow(missing_docs, reason = "the table documents them")]
    pub struct EdgeSettings {
        pub vm: VmId,
        pub domain: DomainId,
        pub region: RegionId,
        pub domains: Vec<(DomainId, RegionId)>,
        pub store: SocketAddr,
        pub listen: SocketAddr,
        pub directory: SocketAddr,
        pub readiness: SocketAddr,
        pub peer: SocketAddr,
        pub metrics: SocketAddr,
        pub workers: usize,
        pub log_level: LevelFilter,
        pub log_format: LogFormat,
        pub max_connections: usize,
        pub idle_connections: usize,
        pub connect_timeout: Millis,
        pub store_timeout: Millis,
        pub history: Millis,
        pub apply_time: Millis,
        pub drain_time: Millis,
        pub retry_window: Millis,
        pub retry_permille: u32,
        pub retry_slack: u32,
        pub lifetime: Millis,
        pub grace: Millis,
    }
}

common_derives! {
    /// What the command line asks for.
    #[allow(clippy::large_enum_variant, reason = "made once, at start")]
    pub enum EdgeCommand {
        /// Run with these settings.
        Run(EdgeSettings),
        /// The settings are valid; exit.
        Check,
        /// Print this text and exit.
        Print(String),
    }
}

/// Reads the command line after `edge`, and the environment.
///
/// # Errors
/// All faults, each with the flag or variable in which it is.
pub fn read(
    args: Vec<OsString>,
    env: impl Fn(&str) -> Option<OsString>,
) -> Result<EdgeCommand, Findings> {
    let mut findings = Findings::default();
    let flags = parse::parse_flags(args, TABLE, &mut findings);
    match flags.mode {
        Mode::Help => return Ok(EdgeCommand::Print(table::help_text(USAGE, TABLE))),
        Mode::Version => {
            let version = concat!("waxwingrail ", env!("CARGO_PKG_VERSION"), "\n");
            return Ok(EdgeCommand::Print(version.to_owned()));
        }
        Mode::Check | Mode::Run => {}
    }
    let mut values = Values::collect(flags.values, TABLE, env, findings);
    let settings = settings(&mut values);
    let findings = values.findings;
    let Some(settings) = settings else {
        return Err(findings);
    };
    findings.or_ok(if flags.mode == Mode::Check {
        EdgeCommand::Check
    } else {
        EdgeCommand::Run(settings)
    })
}

fn settings(values: &mut Values) -> Option<EdgeSettings> {
    // Every value is read before the first `?`, so that all faults are found.
    let vm = values.name("vm");
    let domain = values.name("domain");
    let region = values.name("region");
    let domains = values.pairs("domains");
    let [store, listen, directory, readiness, peer, metrics] = [
        "store",
        "listen",
        "directory",
        "readiness",
        "peer",
        "metrics",
    ]
    .map(|name| values.parse(name, "an IP address and a port"));
    let workers = values.workers();
    let log_level = values.parse("log-level", "error, warn, info, debug or trace");
    let log_format = values.log_format();
    let max_connections = values.size("max-connections", 1, 1_000_000);
    let idle_connections = values.size("idle-connections", 0, 10_000);
    let connect_timeout = values.duration("connect-timeout-ms", 1);
    let store_timeout = values.duration("store-timeout-ms", 1);
    let history = values.number("history-s", 3, 3600);
    let apply_time = values.duration("apply-ms", 1);
    let drain_time = values.duration("drain-ms", 1);
    let retry_window = values.number("retry-window-s", 1, 3600);
    let retry_permille = values.permille("retry-ratio");
    let retry_slack = values.number("retry-slack", 0, 1_000_000);
    let lifetime = values.number("lifetime-s", 1, 3600);
    let grace = values.number("grace-s", 1, 3600);
    let domains = domains?.into_iter();
    Some(EdgeSettings {
        vm: VmId(vm?),
        domain: DomainId(domain?),
        region: RegionId(region?),
        domains: domains.map(|(d, r)| (DomainId(d), RegionId(r))).collect(),
        store: store?,
        listen: listen?,
        directory: directory?,
        readiness: readiness?,
        peer: peer?,
        metrics: metrics?,
        workers: workers?,
        log_level: log_level?,
        log_format: log_format?,
        max_connections: max_connections?,
        idle_connections: idle_connections?,
        connect_timeout: connect_timeout?,
        store_timeout: store_timeout?,
        history: Millis::from_secs(history?),
        apply_time: apply_time?,
        drain_time: drain_time?,
        retry_window: Millis::from_secs(retry_window?),
        retry_permille: retry_permille?,
        retry_slack: u32::try_from(retry_slack?).ok()?,
        lifetime: Millis::from_secs(lifetime?),
        grace: Millis::from_secs(grace?),
    })
}
