//! Settings from flags and environment variables. All errors in them are reported together.

pub(crate) mod parse;
pub(crate) mod table;

use std::ffi::OsString;
use std::net::SocketAddr;

use log::LevelFilter;
use waxwing_records::Findings;
use waxwing_types::{DomainId, Millis, RegionId, VmId, common_derives};

use parse::Values;
use table::SETTINGS;

/// Command line that `--help` shows.
const USAGE: &str = "waxwingrail [--check] --vm NAME --domain NAME --region NAME --store IP:PORT";

common_derives! {
    copy
    /// Form of log lines.
    pub enum LogFormat {
        /// A line of text with the key-value pairs in braces.
        Text,
        /// A JSON object on one line.
        Json,
    }
}

common_derives! {
    /// Settings of a daemon. The table `SETTINGS` holds their flags, defaults and help texts.
    pub struct Settings {
        /// Id of this VM on the platform's VM list.
        pub vm: VmId,
        /// Failure domain of this VM.
        pub domain: DomainId,
        /// Region of this VM.
        pub region: RegionId,
        /// Address of the platform's object store.
        pub store: SocketAddr,
        /// Address for requests of callers.
        pub listen: SocketAddr,
        /// Address on which this daemon accepts calls from other daemons.
        pub peer: SocketAddr,
        /// Address for requests from entry VMs of other regions.
        pub peer_http: SocketAddr,
        /// Address for health, metrics and status.
        pub admin: SocketAddr,
        /// Number of worker threads.
        pub workers: usize,
        /// Maximum number of VMs in a failure domain. The more VMs there may be, the longer the interval
        /// at which each borrows quota, and the longer the maximum term of a quota lease.
        pub domain_vms: usize,
        /// Least severe level of messages that are logged.
        pub log_level: LevelFilter,
        /// Form of log lines.
        pub log_format: LogFormat,
        /// Maximum size of a request body in bytes.
        pub max_body_bytes: u64,
        /// Maximum size of the header section of a request in bytes.
        pub max_header_bytes: usize,
        /// Maximum number of open connections of callers.
        pub max_connections: usize,
        /// Timeout for receiving a header section, and for an idle connection of a caller.
        pub header_timeout: Millis,
        /// Maximum number of idle connections kept open to each target.
        pub idle_connections: usize,
        /// Timeout for opening a connection to a target.
        pub connect_timeout: Millis,
        /// Period at which each target is asked for its load.
        pub load_period: Millis,
        /// Timeout for a call to the store.
        pub store_timeout: Millis,
        /// Time after a stop signal during which new connections are still accepted. In this time,
        /// callers learn that the VM is stopping.
        pub drain_notice: Millis,
        /// Time after a stop signal within which running requests have to finish.
        pub drain_timeout: Millis,
    }
}

common_derives! {
    /// What the command line asks for.
    #[allow(clippy::large_enum_variant, reason = "created only once, at start")]
    pub enum Command {
        /// Run with these settings.
        Run(Settings),
        /// Report that the settings are valid, and exit.
        Check,
        /// Print this text and exit.
        Print(String),
    }
}

/// Reads the settings from the command line, without the program name, and the environment.
///
/// # Errors
/// All errors, each with the flag or variable that it is in.
pub fn read(
    args: Vec<OsString>,
    env: impl Fn(&str) -> Option<OsString>,
) -> Result<Command, Findings> {
    let mut findings = Findings::default();
    let flags = parse::parse_flags(args, SETTINGS, &mut findings);
    match flags.mode {
        parse::Mode::Help => return Ok(Command::Print(table::help_text(USAGE, SETTINGS))),
        parse::Mode::Version => {
            let version = concat!("waxwingrail ", env!("CARGO_PKG_VERSION"), "\n");
            return Ok(Command::Print(version.to_owned()));
        }
        parse::Mode::Check | parse::Mode::Run => {}
    }
    let mut values = Values::collect(flags.values, SETTINGS, env, findings);
    let settings = parse_settings(&mut values);
    let mut findings = values.findings;
    let Some(settings) = settings else {
        return Err(findings);
    };
    settings.check_conflicts(&mut findings);
    let check_only = flags.mode == parse::Mode::Check;
    findings.or_ok(if check_only {
        Command::Check
    } else {
        Command::Run(settings)
    })
}

/// Parses all settings. Returns `None` after an error, which `values` records.
fn parse_settings(values: &mut Values) -> Option<Settings> {
    // All values are parsed before the first `?`, so that all errors are reported.
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
    .map(|(name, min, max)| values.size(name, min, max));
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
    /// Reports settings that are invalid or in conflict with each other.
    fn check_conflicts(&self, findings: &mut Findings) {
        let listen_addresses = [
            ("--listen", self.listen),
            ("--peer", self.peer),
            ("--peer-http", self.peer_http),
            ("--admin", self.admin),
        ];
        for (index, (flag, address)) in listen_addresses.iter().enumerate() {
            for (other_flag, other_address) in &listen_addresses[..index] {
                if collide(*address, *other_address) {
                    findings.add(
                        *flag,
                        format!("{address} collides with {other_flag} {other_address}"),
                    );
                }
            }
        }
        if self.store.port() == 0 || self.store.ip().is_unspecified() {
            findings.add(
                "--store",
                "expected a specific IP address and a port other than 0",
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

/// Whether two addresses cannot both be bound. Port 0 stands for any free port and never collides.
fn collide(first: SocketAddr, second: SocketAddr) -> bool {
    let any_ip = first.ip().is_unspecified() || second.ip().is_unspecified();
    first.port() != 0 && first.port() == second.port() && (any_ip || first.ip() == second.ip())
}
