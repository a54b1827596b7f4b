//! The one table of settings, from which parsing and `--help` work.

use std::fmt::Write as _;

/// What a setting has when nobody sets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// It must be set.
    Required,
    /// This text, read as if it had been given.
    Text(&'static str),
}

/// One setting: flag `--name`, environment variable `WAXWINGRAIL_NAME`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setting {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) fallback: Fallback,
    pub(crate) help: &'static str,
}

pub(crate) const fn required(
    name: &'static str,
    unit: &'static str,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        unit,
        fallback: Fallback::Required,
        help,
    }
}

pub(crate) const fn optional(
    name: &'static str,
    unit: &'static str,
    text: &'static str,
    help: &'static str,
) -> Setting {
    Setting {
        name,
        unit,
        fallback: Fallback::Text(text),
        help,
    }
}

#[rustfmt::skip]
pub(crate) const TABLE: &[Setting] = &[
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

/// The environment variable of a setting.
pub(crate) fn variable(name: &str) -> String {
    format!(
        "WAXWINGRAIL_{}",
        name.to_ascii_uppercase().replace('-', "_")
    )
}

/// The text of `--help`.
pub(crate) fn help_text(usage: &str, table: &[Setting]) -> String {
    let mut out = format!(
        "Usage: {usage} [OPTION]...\n\n\
         The daemon on an entry VM. Each option may also be set by the environment variable shown\n\
         beside it; a flag takes precedence.\n\n",
    );
    for setting in table {
        let fallback = match setting.fallback {
            Fallback::Required => "required".to_owned(),
            Fallback::Text(text) => format!("default {text}"),
        };
        let flag = format!("--{} <{}>", setting.name, setting.unit);
        let variable = variable(setting.name);
        let _ = writeln!(
            out,
            "  {flag:<30} {variable}\n      {}; {fallback}",
            setting.help
        );
    }
    out.push_str(
        "\n  --check      read and check the settings, then exit\n  \
         --help       print this text\n  --version    print the version\n",
    );
    out
}
