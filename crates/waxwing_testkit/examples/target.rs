//! Target doubles in one process, on consecutive ports.
//!
//! `target --listen IP:PORT [--count N] [--name NAME] [--slots N | --slots N,N,...]
//! [--latency-ms N] [--cold-ms N] [--down-ms N] [--poison TEXT]`
//!
//! Target I listens on PORT + I, is called NAME-I and has the slots at position I of the list,
//! which is repeated. `GET /load`, `GET /ran` and `POST /control` (see
//! `waxwing_testkit::TargetControl`) are served beside the requests.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, bail};
use async_executor::Executor;
use lexopt::{Arg, Parser, ValueExt};
use waxwing_testkit::{Target, TargetSettings};
use waxwing_types::Millis;

struct Settings {
    listen: SocketAddr,
    count: u16,
    slots: Vec<u32>,
    target: TargetSettings,
}

fn main() -> anyhow::Result<()> {
    let settings = settings()?;
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(async {
        let mut targets = Vec::new();
        for i in 0..settings.count {
            let (address, target) = numbered(&settings, i)?;
            let target = Target::start(&executor, address, target)
                .await
                .with_context(|| format!("cannot listen on {address}"))?;
            targets.push(target);
        }
        println!("{} targets from {}", targets.len(), settings.listen);
        std::future::pending::<anyhow::Result<()>>().await
    }))
}

fn numbered(settings: &Settings, i: u16) -> anyhow::Result<(SocketAddr, TargetSettings)> {
    let port = settings.listen.port().checked_add(i);
    let port = port.context("--count: ports exceed 65535")?;
    let mut target = settings.target.clone();
    target.name = format!("{}-{i}", target.name);
    target.slots = settings.slots[usize::from(i) % settings.slots.len()];
    Ok((SocketAddr::new(settings.listen.ip(), port), target))
}

fn settings() -> anyhow::Result<Settings> {
    let mut listen = None;
    let mut count = 1;
    let mut target = TargetSettings::default();
    let mut slots = vec![target.slots];
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("count") => count = parser.value()?.parse()?,
            Arg::Long("name") => target.name = parser.value()?.string()?,
            Arg::Long("slots") => {
                let list = parser.value()?.string()?;
                let parsed: Result<Vec<u32>, _> = list.split(',').map(str::parse).collect();
                slots = parsed.context("--slots")?;
            }
            Arg::Long("latency-ms") => target.latency = Millis(parser.value()?.parse()?),
            Arg::Long("cold-ms") => target.cold = Millis(parser.value()?.parse()?),
            Arg::Long("down-ms") => target.down = Millis(parser.value()?.parse()?),
            Arg::Long("poison") => target.poison = Some(parser.value()?.string()?),
            other => bail!(other.unexpected()),
        }
    }
    Ok(Settings {
        listen: listen.context("--listen IP:PORT is required")?,
        count,
        slots,
        target,
    })
}
