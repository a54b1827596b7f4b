//! Sends requests and prints one line for each and an account at the end.
//!
//! `caller --entry IP:PORT... --service S [--key K] [--client IP] [--method M] [--path P]
//! [--count N] [--rate N] [--idempotency-key K [--own-keys]] [--body TEXT | --body-bytes N]
//! [--timeout-ms N] [--quiet]`: requests through the entry VMs. `--vm IP:PORT` instead of `--entry`
//! sends them to this VM without a look-up.
//!
//! `caller --to IP:PORT [--method M] [--path P] [--body TEXT] [--timeout-ms N]`: one plain request,
//! for commands to the other doubles; prints the response body. Exit code 1 if the status is not 2xx.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use lexopt::{Arg, Parser, ValueExt};
use waxwing_http::{Client, ClientLimits, full};
use waxwing_testkit::{Call, Caller, CallerSettings, Outcome, Plan, run_plan};

struct Settings {
    to: Option<SocketAddr>,
    caller: CallerSettings,
    plan: Plan,
    quiet: bool,
}

fn main() -> anyhow::Result<()> {
    let settings = settings()?;
    let executor = Arc::new(Executor::new());
    async_io::block_on(executor.run(async {
        match settings.to {
            Some(address) => plain(&executor, address, &settings).await,
            None => through_entry_vms(&executor, &settings).await,
        }
    }))
}

async fn through_entry_vms(
    executor: &Arc<Executor<'static>>,
    settings: &Settings,
) -> anyhow::Result<()> {
    let known = !settings.caller.entries.is_empty() || settings.caller.vm.is_some();
    ensure!(known, "--entry IP:PORT or --vm IP:PORT is required");
    ensure!(!settings.caller.service.is_empty(), "--service is required");
    let caller = Caller::new(executor, settings.caller.clone());
    let quiet = settings.quiet;
    let each = move |outcome: &Outcome| {
        if !quiet {
            print_outcome(outcome);
        }
    };
    let account = run_plan(executor, &caller, &settings.plan, each).await;
    println!("{}", serde_json::to_string(&account.summary())?);
    Ok(())
}

fn print_outcome(outcome: &Outcome) {
    let or_dash = |text: &str| {
        if text.is_empty() {
            "-".to_owned()
        } else {
            text.to_owned()
        }
    };
    println!(
        "status={} reason={} ran={} vm={} target={} attempts={} ms={:.1} bytes={}",
        outcome.status.unwrap_or(0),
        or_dash(&outcome.reason),
        or_dash(&outcome.ran),
        outcome.vm.map_or("-".into(), |vm| vm.to_string()),
        or_dash(&outcome.target),
        outcome.attempts,
        outcome.time.as_secs_f64() * 1000.0,
        outcome.bytes,
    );
}

async fn plain(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    settings: &Settings,
) -> anyhow::Result<()> {
    let client = Client::new(Arc::clone(executor), ClientLimits::default());
    let call = &settings.plan.call;
    let request = Request::builder()
        .method(&call.method)
        .uri(&call.path)
        .body(full(call.body.clone()))?;
    let answer = async {
        let response = client.send(address, request).await?;
        let status = response.status();
        let mut body = response.into_body();
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| anyhow::anyhow!(e.to_string()))?;
            bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
        }
        println!("{}", String::from_utf8_lossy(&bytes));
        ensure!(status.is_success(), "status {status}");
        Ok(())
    };
    let expired = async {
        Timer::after(settings.caller.timeout).await;
        bail!("no answer within the timeout")
    };
    answer.or(expired).await
}

fn settings() -> anyhow::Result<Settings> {
    let mut settings = defaults();
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        let Arg::Long(name) = arg else {
            bail!(arg.unexpected());
        };
        let name = name.to_owned();
        set(&mut settings, &name, &mut parser).with_context(|| format!("--{name}"))?;
    }
    Ok(settings)
}

fn defaults() -> Settings {
    Settings {
        to: None,
        caller: CallerSettings {
            entries: Vec::new(),
            vm: None,
            service: String::new(),
            client: IpAddr::V4(Ipv4Addr::LOCALHOST),
            key: None,
            timeout: Duration::from_secs(5),
        },
        plan: Plan {
            call: Call {
                method: Method::GET,
                path: "/".into(),
                idempotency_key: None,
                body: Vec::new(),
            },
            own_keys: false,
            count: 1,
            rate: 0,
        },
        quiet: false,
    }
}

fn set(settings: &mut Settings, name: &str, parser: &mut Parser) -> anyhow::Result<()> {
    let Settings { caller, plan, .. } = settings;
    match name {
        "to" => settings.to = Some(parser.value()?.parse()?),
        "vm" => caller.vm = Some(parser.value()?.parse()?),
        "entry" => caller.entries.push(parser.value()?.parse()?),
        "service" => caller.service = parser.value()?.string()?,
        "client" => caller.client = parser.value()?.parse()?,
        "key" => caller.key = Some(parser.value()?.string()?),
        "timeout-ms" => caller.timeout = Duration::from_millis(parser.value()?.parse()?),
        "method" => plan.call.method = parser.value()?.parse()?,
        "path" => plan.call.path = parser.value()?.string()?,
        "idempotency-key" => plan.call.idempotency_key = Some(parser.value()?.string()?),
        "body" => plan.call.body = parser.value()?.string()?.into_bytes(),
        "body-bytes" => plan.call.body = vec![b'x'; parser.value()?.parse()?],
        "count" => plan.count = parser.value()?.parse()?,
        "rate" => plan.rate = parser.value()?.parse()?,
        "own-keys" => plan.own_keys = true,
        "quiet" => settings.quiet = true,
        _ => bail!("unknown flag"),
    }
    Ok(())
}
