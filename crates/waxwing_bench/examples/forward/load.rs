//! The load: throughput in a closed loop, then latency at half of the daemon's throughput.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use async_executor::Executor;
use async_io::Timer;
use hdrhistogram::Histogram;
use hyper::Request;
use waxwing_http::{Body, Client, ClientLimits, collect, empty};

use crate::daemon::{KEY, PATH};
use crate::{Options, parts};

/// Processor ticks a second that Linux reports.
const TICKS: f64 = 100.0;
/// Time before each measurement, in which connections open and the daemon admits requests.
const WARM_UP: Duration = Duration::from_secs(2);

/// Where requests go.
struct Goal {
    name: &'static str,
    address: SocketAddr,
    process: Option<u32>,
}

struct Plan {
    connections: u64,
    span: Duration,
    rounds: u64,
}

/// Latencies in microseconds and requests that failed.
struct Latency {
    times: Histogram<u64>,
    failed: u64,
}

pub(crate) fn run(options: &Options) -> anyhow::Result<()> {
    let direct = Goal {
        name: "direct",
        address: options.get("direct")?,
        process: None,
    };
    let bare = goal(options, "bare")?;
    let daemon = goal(options, "daemon")?;
    let plan = Plan {
        connections: options.number("connections", 32)?,
        span: Duration::from_secs(options.number("seconds", 4)?),
        rounds: options.number("rounds", 3)?,
    };
    let executor = Arc::new(Executor::new());
    parts::block_on(&executor, parts::THREADS, async {
        println!("throughput, {} connections", plan.connections);
        let bare_rate = throughput(&executor, &plan, &bare).await?;
        let daemon_rate = throughput(&executor, &plan, &daemon).await?;
        println!(
            "daemon / bare, per core: {:.3}",
            daemon_rate.per_core / bare_rate.per_core
        );
        let rate = daemon_rate.per_second / 2.0;
        println!("latency at {rate:.0} requests/s");
        for round in 0..plan.rounds {
            for goal in [&direct, &bare, &daemon] {
                let seen = latency(&executor, &plan, goal, rate).await?;
                let [p50, p99] = [0.5, 0.99].map(|q| seen.times.value_at_quantile(q));
                println!(
                    "round {round} {:>6}: p50 {p50} us, p99 {p99} us, {} answered, {} failed",
                    goal.name,
                    seen.times.len(),
                    seen.failed
                );
            }
        }
        Ok(())
    })
}

fn goal(options: &Options, name: &'static str) -> anyhow::Result<Goal> {
    let text: String = options.get(name)?;
    let (address, process) = text.split_once(',').context("expected IP:PORT,PID")?;
    Ok(Goal {
        name,
        address: address.parse()?,
        process: Some(process.parse()?),
    })
}

struct Rate {
    per_second: f64,
    per_core: f64,
}

/// Requests a second with as many callers as connections, and requests for each second of the
/// forwarder's processor time.
async fn throughput(
    executor: &Arc<Executor<'static>>,
    plan: &Plan,
    goal: &Goal,
) -> anyhow::Result<Rate> {
    let client = client(executor);
    let (done, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut callers = Vec::new();
    for _ in 0..plan.connections {
        let (client, address) = (client.clone(), goal.address);
        let (done, failed) = (Arc::clone(&done), Arc::clone(&failed));
        callers.push(executor.spawn(async move {
            loop {
                let counter = if send(&client, address).await {
                    &done
                } else {
                    &failed
                };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    Timer::after(WARM_UP).await;
    failed.store(0, Ordering::Relaxed);
    let (begun, before, used) = (Instant::now(), done.load(Ordering::Relaxed), cpu(goal)?);
    Timer::after(plan.span).await;
    let count = count(done.load(Ordering::Relaxed) - before);
    let used = cpu(goal)? - used;
    let rate = Rate {
        per_second: count / begun.elapsed().as_secs_f64(),
        per_core: count / used,
    };
    println!(
        "{:>6}: {:.0} requests/s, {used:.2} s of processor time, {:.0} requests/s per core, {} failed",
        goal.name,
        rate.per_second,
        rate.per_core,
        failed.load(Ordering::Relaxed)
    );
    Ok(rate)
}

/// Latencies at a fixed rate, counted from the time at which each request was due.
async fn latency(
    executor: &Arc<Executor<'static>>,
    plan: &Plan,
    goal: &Goal,
    rate: f64,
) -> anyhow::Result<Latency> {
    let client = client(executor);
    let step = Duration::from_secs_f64(count(plan.connections) / rate);
    let mut callers = Vec::new();
    for i in 0..plan.connections {
        let (client, address, span) = (client.clone(), goal.address, plan.span);
        let offset = step.mul_f64(count(i) / count(plan.connections));
        callers.push(executor.spawn(caller(client, address, step, offset, span)));
    }
    let mut all = Latency {
        times: Histogram::new(3)?,
        failed: 0,
    };
    for caller in callers {
        let part = caller.await?;
        all.times.add(&part.times)?;
        all.failed += part.failed;
    }
    Ok(all)
}

async fn caller(
    client: Client,
    address: SocketAddr,
    step: Duration,
    offset: Duration,
    span: Duration,
) -> anyhow::Result<Latency> {
    let mut seen = Latency {
        times: Histogram::new(3)?,
        failed: 0,
    };
    let begun = Instant::now();
    let mut due = begun + offset;
    while due < begun + WARM_UP + span {
        Timer::at(due).await;
        let answered = send(&client, address).await;
        let time = u64::try_from(due.elapsed().as_micros())?;
        if due >= begun + WARM_UP {
            if answered {
                seen.times.record(time)?;
            } else {
                seen.failed += 1;
            }
        }
        due += step;
    }
    Ok(seen)
}

fn client(executor: &Arc<Executor<'static>>) -> Client {
    let limits = ClientLimits {
        idle: 1024,
        ..ClientLimits::default()
    };
    Client::new(Arc::clone(executor), limits)
}

async fn send(client: &Client, address: SocketAddr) -> bool {
    let Ok(response) = client.send(address, request()).await else {
        return false;
    };
    let answered = response.status().is_success();
    collect(response.into_body(), 1 << 16).await.is_ok() && answered
}

fn request() -> Request<Body> {
    let mut request = Request::new(empty());
    *request.uri_mut() = hyper::Uri::from_static(PATH);
    if let Ok(value) = format!("Bearer {KEY}").parse() {
        request.headers_mut().insert("authorization", value);
    }
    request
}

/// Processor time of the goal's process in seconds.
fn cpu(goal: &Goal) -> anyhow::Result<f64> {
    let process = goal.process.context("no process")?;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the command, in parentheses, may contain blanks.
    let (_, fields) = stat.rsplit_once(')').context("stat")?;
    let fields: Vec<_> = fields.split_whitespace().collect();
    let ticks = |at: usize| -> anyhow::Result<u64> { Ok(fields.get(at).context("stat")?.parse()?) };
    Ok(count(ticks(11)? + ticks(12)?) / TICKS)
}

#[allow(clippy::cast_precision_loss, reason = "counts stay far below 52 bits")]
fn count(value: u64) -> f64 {
    value as f64
}
