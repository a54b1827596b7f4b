//! The store double as a process. `store --listen IP:PORT [--vms FILE]`
//!
//! FILE holds the platform's list of VMs, `{"vms": [...]}`. `POST /control` changes its behaviour
//! (see `waxwing_testkit::Control`), `GET /control/stats` counts calls.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, bail};
use async_executor::Executor;
use lexopt::{Arg, Parser, ValueExt};
use waxwing_store::wire::VmsBody;
use waxwing_testkit::{Control, MemoryStore, serve_store};

fn main() -> anyhow::Result<()> {
    let (listen, vms) = settings()?;
    let store = MemoryStore::new();
    if let Some(vms) = vms {
        store.control(Control {
            vms: Some(vms.vms),
            ..Control::default()
        });
    }
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(async {
        let server = serve_store(&executor, listen, store)
            .await
            .with_context(|| format!("cannot listen on {listen}"))?;
        println!("store double on {}", server.address());
        std::future::pending::<anyhow::Result<()>>().await
    }))
}

fn settings() -> anyhow::Result<(SocketAddr, Option<VmsBody>)> {
    let mut listen = None;
    let mut vms = None;
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("listen") => listen = Some(parser.value()?.parse()?),
            Arg::Long("vms") => {
                let path = parser.value()?.string()?;
                let json = std::fs::read(&path).with_context(|| format!("cannot read {path}"))?;
                vms = Some(serde_json::from_slice(&json).context("--vms")?);
            }
            other => bail!(other.unexpected()),
        }
    }
    Ok((listen.context("--listen IP:PORT is required")?, vms))
}
