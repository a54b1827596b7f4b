//! Throughput per core and added latency of the daemon, against a bare forwarder on the same
//! libraries.
//!
//! Each part is a process of its own, so that none takes the others' processor time:
//!
//! ```text
//! forward target --listen IP:PORT
//! forward bare   --listen IP:PORT --to IP:PORT
//! forward daemon --listen IP:PORT --to IP:PORT
//! forward load   --direct IP:PORT --bare IP:PORT,PID --daemon IP:PORT,PID
//!                [--connections N] [--seconds S] [--rounds N]
//! ```
//!
//! `scripts/bench-forward` starts all of them and ends them.

mod bare;
mod daemon;
mod load;
mod parts;

use std::collections::BTreeMap;

use anyhow::{Context, bail};
use lexopt::{Arg, Parser, ValueExt};

/// The options of a part.
struct Options {
    part: String,
    values: BTreeMap<String, String>,
}

impl Options {
    fn read() -> anyhow::Result<Self> {
        let mut options = Self {
            part: String::new(),
            values: BTreeMap::new(),
        };
        let mut parser = Parser::from_env();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Value(part) => options.part = part.string()?,
                Arg::Long(name) => {
                    let name = name.to_owned();
                    options.values.insert(name, parser.value()?.string()?);
                }
                Arg::Short(_) => return Err(arg.unexpected().into()),
            }
        }
        Ok(options)
    }

    fn get<T: std::str::FromStr>(&self, name: &str) -> anyhow::Result<T>
    where
        T::Err: std::error::Error + Send + Sync + 'static,
    {
        let text = self.values.get(name);
        let text = text.with_context(|| format!("--{name} is missing"))?;
        text.parse().with_context(|| format!("--{name} {text}"))
    }

    fn number(&self, name: &str, fallback: u64) -> anyhow::Result<u64> {
        if self.values.contains_key(name) {
            self.get(name)
        } else {
            Ok(fallback)
        }
    }
}

fn main() -> anyhow::Result<()> {
    let options = Options::read()?;
    match options.part.as_str() {
        "target" => parts::target(options.get("listen")?),
        "bare" => bare::run(options.get("listen")?, options.get("to")?),
        "daemon" => daemon::run(options.get("listen")?, options.get("to")?),
        "load" => load::run(&options),
        part => bail!("expected target, bare, daemon or load, got \"{part}\""),
    }
}
