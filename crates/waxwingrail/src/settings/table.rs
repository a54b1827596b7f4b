//! The table of settings, which drives both parsing and `--help`.

use std::fmt::Write as _;

/// Whether a setting has to be given, or else its default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// The setting has no default.
    Required,
    /// The setting has this default, which is parsed like a given value.
    Default(&'static str),
}

/// A setting with its flag `--name` and its environment variable `WAXWINGRAIL_NAME`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) name: &'static str,
    /// Placeholder for the value in `--help`.
    pub(crate) unit: &'static str,
    pub(crate) requirement: Requirement,
    pub(crate) help: &'static str,
}

/// A setting that has to be given.
pub(crate) const fn required(
    name: &'static str,
    unit: &'static str,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        unit,
        requirement: Requirement::Required,
        help,
    }
}

/// A setting with a default.
pub(crate) const fn optional(
    name: &'static str,
    unit: &'static str,
    default: &'static str,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        unit,
        requirement: Requirement::Default(default),
        help,
    }
}

/// The settings of the daemon.
#[rustfmt::skip]
pub(crate) const SETTINGS: &[Setting] = &[
    required("vm", "name", "id of this VM on the platform's list"),
    required("domain", "name", "failure domain of this VM"),
    required("region", "name", "region of this VM"),
    required("store", "IP:port", "address of the platform's object store"),
    optional("listen", "IP:port", "0.0.0.0:8080", "address for callers"),
    optional("peer", "IP:port", "0.0.0.0:8081", "address of the protocol between daemons"),
    optional("peer-http", "IP:port", "0.0.0.0:8082", "address for requests from entry VMs of other regions"),
    optional("admin", "IP:port", "127.0.0.1:8083", "address for health, metrics and status"),
    optional("workers", "threads", "auto", "worker threads; auto: one per core"),
    optional("domain-vms", "number", "11", "most VMs of a failure domain; the same on all VMs of a deployment"),
    optional("log-level", "level", "info", "error, warn, info, debug or trace"),
    optional("log-format", "format", "text", "text or json"),
    optional("max-body-bytes", "bytes", "1073741824", "greatest request body"),
    optional("max-header-bytes", "bytes", "16384", "greatest header section of a request"),
    optional("max-connections", "number", "10000", "open connections of callers"),
    optional("header-timeout-ms", "ms", "60000", "time for a header section, and idle time of a connection"),
    optional("idle-connections", "number", "64", "idle connections kept to each target"),
    optional("connect-timeout-ms", "ms", "1000", "time for opening a connection to a target"),
    optional("load-period-ms", "ms", "1000", "period in which targets are asked for their load"),
    optional("store-timeout-ms", "ms", "1000", "time for a call to the store"),
    optional("drain-notice-ms", "ms", "2000", "time after a stop signal in which connections are still accepted"),
    optional("drain-timeout-ms", "ms", "60000", "time for running requests to finish after a stop signal"),
];

/// Name of the environment variable of a setting.
pub(crate) fn env_variable(name: &str) -> String {
    format!(
        "WAXWINGRAIL_{}",
        name.to_ascii_uppercase().replace('-', "_")
    )
}

/// Text that `--help` prints.
pub(crate) fn help_text(usage: &str, table: &[Setting]) -> String {
    let mut out = format!(
        "Usage: {usage} [OPTION]...\n\n\
         The daemon on an entry VM. Each option may also be set by the environment variable shown\n\
         beside it; a flag takes precedence.\n\n",
    );
    for setting in table {
        let requirement = match setting.requirement {
            Requirement::Required => "required".to_owned(),
            Requirement::Default(default) => format!("default {default}"),
        };
        let flag = format!("--{} <{}>", setting.name, setting.unit);
        let variable = env_variable(setting.name);
        let _ = writeln!(
            out,
            "  {flag:<30} {variable}\n      {}; {requirement}",
            setting.help
        );
    }
    out.push_str(
        "\n  --check      read and check the settings, then exit\n  \
         --help       print this text\n  --version    print the version\n",
    );
    out
}
