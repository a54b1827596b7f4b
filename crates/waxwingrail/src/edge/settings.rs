//! Settings of the edge daemon, from flags and environment variables. All invalid settings are reported
//! together.

use std::ffi::OsString;
use std::net::SocketAddr;

use log::LevelFilter;
use waxwing_edge::ColdStartTerms;
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
    optional("memory-mb", "MB", "112", "memory of this process; bounds what requests and responses may hold"),
    optional("idle-connections", "number", "24", "idle connections kept to each target"),
    optional("connect-timeout-ms", "ms", "400", "time for opening a connection to a target"),
    optional("store-timeout-ms", "ms", "1500", "time for a call to the store"),
    optional("history-s", "s", "20", "time for which the store keeps its history"),
    optional("apply-ms", "ms", "2500", "time within which a change of the deployment is in force"),
    optional("drain-ms", "ms", "2500", "time after which a target that leaves gets no request"),
    optional("evacuate-ms", "ms", "5000", "time within which an evacuation is in force"),
    optional("recovery-ms", "ms", "4000", "time after an outage of the store from which changes are in force in time again"),
    optional("retry-window-s", "s", "10", "window of the budget of repeated requests"),
    optional("retry-ratio", "part", "0.1", "repeated requests for each request, over all VMs"),
    optional("retry-slack", "number", "20", "repeated requests in a window whatever the requests, over all VMs"),
    optional("cold-overshoot", "part", "1.5", "requests that a cold target may get in one second, as a multiple of its rate, over all VMs"),
    optional("cold-slack", "number", "5", "requests that a cold target may get in one second in addition, over all VMs"),
    optional("lifetime-s", "s", "2", "time for which callers may keep an answer of the directory"),
    optional("grace-s", "s", "6", "time from a stop signal to the end of the process"),
];

common_derives! {
    /// The settings of an edge daemon. The output of `--help` documents the settings without a comment.
    #[allow(missing_docs, reason = "the help text documents them")]
    pub struct EdgeSettings {
        pub vm: VmId,
        pub domain: DomainId,
        pub region: RegionId,
        /// All failure domains with their regions (`--domains`).
        pub domain_regions: Vec<(DomainId, RegionId)>,
        /// Address of the object store in which the registry is kept.
        pub store: SocketAddr,
        pub listen: SocketAddr,
        pub directory: SocketAddr,
        pub readiness: SocketAddr,
        /// Address for datagrams of other VMs.
        pub peer: SocketAddr,
        pub metrics: SocketAddr,
        pub workers: usize,
        pub log_level: LevelFilter,
        pub log_format: LogFormat,
        pub max_connections: usize,
        /// Memory of the process in bytes (`--memory-mb`).
        pub memory: usize,
        pub idle_connections: usize,
        pub connect_timeout: Millis,
        pub store_timeout: Millis,
        /// Time for which the store keeps its history of changes (`--history-s`).
        pub store_history: Millis,
        /// Time within which a change of the deployment must be in use (`--apply-ms`).
        pub max_apply_delay: Millis,
        /// Time after which a target that starts to drain must get no requests (`--drain-ms`).
        pub max_drain_delay: Millis,
        /// Time within which an evacuation must be in force (`--evacuate-ms`).
        pub max_evacuation_delay: Millis,
        /// Time after an outage of the store from which the limits on the delay of changes apply again
        /// (`--recovery-ms`).
        pub store_recovery: Millis,
        pub retry_window: Millis,
        /// Retries allowed per 1000 requests, over all VMs (`--retry-ratio`).
        pub retry_permille: u32,
        /// Retries allowed in a window in addition, over all VMs (`--retry-slack`).
        pub base_retries: u32,
        /// Requests that a cold target may get (`--cold-overshoot`, `--cold-slack`).
        pub cold_start: ColdStartTerms,
        /// Time for which callers may use a directory response (`--lifetime-s`).
        pub directory_ttl: Millis,
        /// Time from a stop signal to the end of the process (`--grace-s`).
        pub stop_timeout: Millis,
    }
}

common_derives! {
    /// The action that the command line selects.
    #[allow(clippy::large_enum_variant, reason = "created once, at startup")]
    pub enum EdgeCommand {
        /// Run with these settings.
        Run(EdgeSettings),
        /// Exit after the validation of the settings, without running the daemon.
        Check,
        /// Print this text and exit.
        Print(String),
    }
}

/// Parses the arguments after `edge`, and the environment variables.
///
/// # Errors
/// All invalid settings, each with its flag or variable.
pub fn parse_command_line(
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
    let settings = parse_settings(&mut values);
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

fn parse_settings(values: &mut Values) -> Option<EdgeSettings> {
    // All values are read before the first `?`, so that all errors are reported together.
    let vm = values.name("vm");
    let domain = values.name("domain");
    let region = values.name("region");
    let domain_region_pairs = values.pairs("domains");
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
    let memory_mb = values.size("memory-mb", 16, 1_000_000);
    let idle_connections = values.size("idle-connections", 0, 10_000);
    let connect_timeout = values.duration("connect-timeout-ms", 1);
    let store_timeout = values.duration("store-timeout-ms", 1);
    let store_history = values.number("history-s", 3, 3600);
    let max_apply_delay = values.duration("apply-ms", 1);
    let max_drain_delay = values.duration("drain-ms", 1);
    let max_evacuation_delay = values.duration("evacuate-ms", 1);
    let store_recovery = values.duration("recovery-ms", 1);
    let retry_window = values.number("retry-window-s", 1, 3600);
    let retry_permille = values.permille("retry-ratio");
    let base_retries = values.number("retry-slack", 0, 1_000_000);
    let cold_permille = values.permille("cold-overshoot");
    let cold_slack = values.number("cold-slack", 0, 1_000_000);
    let directory_ttl = values.number("lifetime-s", 1, 3600);
    let stop_timeout = values.number("grace-s", 1, 3600);
    let domain_regions = domain_region_pairs?.into_iter();
    Some(EdgeSettings {
        vm: VmId(vm?),
        domain: DomainId(domain?),
        region: RegionId(region?),
        domain_regions: domain_regions
            .map(|(domain, region)| (DomainId(domain), RegionId(region)))
            .collect(),
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
        memory: memory_mb?.saturating_mul(1_000_000),
        idle_connections: idle_connections?,
        connect_timeout: connect_timeout?,
        store_timeout: store_timeout?,
        store_history: Millis::from_secs(store_history?),
        max_apply_delay: max_apply_delay?,
        max_drain_delay: max_drain_delay?,
        max_evacuation_delay: max_evacuation_delay?,
        store_recovery: store_recovery?,
        retry_window: Millis::from_secs(retry_window?),
        retry_permille: retry_permille?,
        base_retries: u32::try_from(base_retries?).ok()?,
        cold_start: ColdStartTerms {
            overshoot_permille: cold_permille?.into(),
            slack: cold_slack?,
        },
        directory_ttl: Millis::from_secs(directory_ttl?),
        stop_timeout: Millis::from_secs(stop_timeout?),
    })
}
