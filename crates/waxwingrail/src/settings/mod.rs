//! Settings from flags and environment variables. All faults are reported together.

pub(crate) mod parse;
pub(crate) mod table;

use std::ffi::OsString;
use std::net::SocketAddr;

use log::LevelFilter;
use waxwing_records::Findings;
use waxwing_types::{DomainId, Millis, RegionId, VmId, common_derives};

use parse::Values;
use table::TABLE;

/// How the daemon is called.
const USAGE: &str = "waxwingrail [--check] --vm NAME --domain NAME --region NAME --store IP:PORT";

common_derives! {
    copy
    /// Form of a log line.
    pub enum LogFormat {
        /// One line of text with the key-values in braces.
        Text,
        /// One JSON object.
        Json,
    }
}

common_derives! {
    /// The settings of a daemon. The table behind `--help` documents them.
    pub struct Settings {
        /// Id of this VM.
        pub vm: VmId,
        /// Failure domain of this VM.
        pub domain: DomainId,
        /// Region of this VM.
        pub region: RegionId,
        /// Address of the platform's object store.
        pub store: SocketAddr,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address of the protocol between daemons.
        pub peer: SocketAddr,
        /// Address for requests from entry VMs of other regions.
        pub peer_http: SocketAddr,
        /// Address for health, metrics and status.
        pub admin: SocketAddr,
        /// Worker threads.
        pub workers: usize,
        /// Most VMs of a failure domain, from which the longest term of quota leases follows.
        pub domain_vms: usize,
        /// Least severe level that is logged.
        pub log_level: LevelFilter,
        /// Form of a log line.
        pub log_format: LogFormat,
        /// Greatest request body in bytes.
        pub max_body_bytes: u64,
        /// Greatest header section in bytes.
        pub max_header_bytes: usize,
        /// Open connections of callers.
        pub max_connections: usize,
        /// Time for a header section, and idle time of a connection.
        pub header_timeout: Millis,
        /// Idle connections kept to each target.
        pub idle_connections: usize,
        /// Time for opening a connection to a target.
        pub connect_timeout: Millis,
        /// Period in which targets are asked for their load.
        pub load_period: Millis,
        /// Time for a call to the store.
        pub store_timeout: Millis,
        /// Time after a stop signal in which connections are still accepted.
        pub drain_notice: Millis,
        /// Time for running requests to finish after a stop signal.
        pub drain_timeout: Millis,
    }
}

common_derives! {
    /// What the command line asks for.
    #[allow(clippy::large_enum_variant, reason = "made once, at start")]
    pub enum Command {
        /// Run with these settings.
        Run(Settings),
        /// The settings are valid; exit.
        Check,
        /// Print this text and exit.
        Print(String),
    }
}

/// Reads the command line (without the program's name) and the environment.
///
/// # Errors
/// All faults, each with the flag or variable in which it is.
pub fn read(
    args: Vec<OsString>,
    env: impl Fn(&str) -> Option<OsString>,
) -> Result<Command, Findings> {
    let mut findings = Findings::default();
    let flags = parse::parse_flags(args, TABLE, &mut findings);
    match flags.mode {
        parse::Mode::Help => return Ok(Command::Print(table::help_text(USAGE, TABLE))),
        parse::Mode::Version => {
            let version = concat!("waxwingrail ", env!("CARGO_PKG_VERSION"), "\n");
            return Ok(Command::Print(version.to_owned()));
        }
        parse::Mode::Check | parse::Mode::Run => {}
    }
    let mut values = Values::collect(flags.values, TABLE, env, findings);
    let settings = settings(&mut values);
    let mut findings = values.findings;
    let Some(settings) = settings else {
        return Err(findings);
    };
    settings.check(&mut findings);
    let check = flags.mode == parse::Mode::Check;
    findings.or_ok(if check {
        Command::Check
    } else {
        Command::Run(settings)
    })
}

fn settings(values: &mut Values) -> Option<Settings> {
    // Every value is read before the first `?`, so that all faults are found.
    let vm = values.name("vm");
    let domain = values.name("domain");
    let region = values.name("region");
    let store = values.parse("store", "an IP address and a port");
    let [listen, peer, peer_http, admin] = ["listen", "peer", "peer-http", "admin"]
        .map(|name| values.parse(name, "an IP address and a port"));
    let workers = values.workers();
    let domain_vms = values.size("domain-vms", 1, 1000);
    let log_level = values.parse("log-level", "error, warn, info, debug or trace");
    let log_format = values.log_format();
    let max_body_bytes = values.number("max-body-bytes", 0, 1 << 40);
    let [max_header_bytes, max_connections, idle_connections] = [
        ("max-header-bytes", 1024, 1 << 20),
        ("max-connections", 1, 1_000_000),
        ("idle-connections", 0, 10_000),
    ]
    .map(|(name, least, most)| values.size(name, least, most));
    let [header_timeout, connect_timeout, load_period, store_timeout] = [
        "header-timeout-ms",
        "connect-timeout-ms",
        "load-period-ms",
        "store-timeout-ms",
    ]
    .map(|name| values.duration(name, 1));
    let [drain_notice, drain_timeout] =
        ["drain-notice-ms", "drain-timeout-ms"].map(|name| values.duration(name, 0));
    Some(Settings {
        vm: VmId(vm?),
        domain: DomainId(domain?),
        region: RegionId(region?),
        store: store?,
        listen: listen?,
        peer: peer?,
        peer_http: peer_http?,
        admin: admin?,
        workers: workers?,
        domain_vms: domain_vms?,
        log_level: log_level?,
        log_format: log_format?,
        max_body_bytes: max_body_bytes?,
        max_header_bytes: max_header_bytes?,
        max_connections: max_connections?,
        header_timeout: header_timeout?,
        idle_connections: idle_connections?,
        connect_timeout: connect_timeout?,
        load_period: load_period?,
        store_timeout: store_timeout?,
        drain_notice: drain_notice?,
        drain_timeout: drain_timeout?,
    })
}

impl Settings {
    /// Finds settings that contradict each other.
    fn check(&self, findings: &mut Findings) {
        let named = [
            ("--listen", self.listen),
            ("--peer", self.peer),
            ("--peer-http", self.peer_http),
            ("--admin", self.admin),
        ];
        for (i, (name, address)) in named.iter().enumerate() {
            for (other, taken) in &named[..i] {
                if collide(*address, *taken) {
                    findings.add(*name, format!("{address} collides with {other} {taken}"));
                }
            }
        }
        if self.store.port() == 0 || self.store.ip().is_unspecified() {
            findings.add(
                "--store",
                "expected the address of one store, with its port",
            );
        }
        if self.drain_notice > self.drain_timeout {
            findings.add(
                "--drain-notice-ms",
                format!(
                    "{} exceeds --drain-timeout-ms {}",
                    self.drain_notice.0, self.drain_timeout.0
                ),
            );
        }
    }
}

/// Whether two addresses cannot be bound together. Port 0 stands for any free port.
fn collide(one: SocketAddr, two: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || two.ip().is_unspecified();
    one.port() != 0 && one.port() == two.port() && (any || one.ip() == two.ip())
}
