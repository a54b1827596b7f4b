//! Replay of recorded traces; the format is described in `traces/README.md`.

use anyhow::{Context, bail};
use serde::Deserialize;

use super::measure::Outcome;
use super::size::SPIKER;
use super::{DEPLOYMENTS, Fault, System, World};

/// Time in ms for requests to end after the last was sent, longer than any route allows.
const LAST_ANSWERS: u64 = 6_000;

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
enum Line {
    Deployment {
        name: String,
        seed: u64,
        demand: u64,
    },
    Measure {
        at_ms: u64,
    },
    Begin {
        at_ms: u64,
        fault: Fault,
    },
    End {
        at_ms: u64,
        fault: Fault,
    },
    Drain {
        at_ms: u64,
    },
    Stop {
        at_ms: u64,
    },
    Expect {
        measure: Measure,
        least: Option<f64>,
        most: Option<f64>,
    },
}

/// A figure that a trace states a bound for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Measure {
    /// Refusals inside rate and burst, in percent.
    FalseRefusals,
    /// The same without those for want of the store.
    FalseWithoutClaims,
    /// Drain time in ms beyond the longest request.
    Drain,
    /// Served share of the worst workspace in percent of the best's.
    WorstOfBest,
    /// Requests admitted beyond a workspace's rate and burst.
    Overdraft,
    /// Peak of moved requests in percent of the cap.
    Moved,
    /// Requests moved.
    MovedCount,
    /// Peak of work for a region in percent of its spare capacity.
    RegionWork,
    /// Time in ms from the first to the last crash by a poison request.
    CrashSpan,
    /// Time in ms from the withdrawal of a key to the last run for it by VMs that are not cut off.
    RunsAfterWithdrawal,
    /// Requests without answer in percent.
    Failed,
}

/// What a replay is asked about, beside its outcome.
#[derive(Default)]
struct Notes {
    withdrawn: u64,
    cut: Option<usize>,
}

/// Replays a trace.
///
/// # Errors
/// The trace cannot be read, or an expected outcome was missed; the message names all of them.
pub fn replay(trace: &str) -> anyhow::Result<()> {
    let mut lines = trace.lines().filter(|l| !l.trim().is_empty()).map(parse);
    let first = lines.next().context("the trace is empty")??;
    let Line::Deployment { name, seed, demand } = first else {
        bail!("line 1: expected a deployment");
    };
    let size = DEPLOYMENTS.iter().find(|d| d.name == name);
    let size = size.with_context(|| format!("line 1: no deployment \"{name}\""))?;
    let mut world = World::new(size, System::Core, seed);
    world.set_demand(demand);
    let mut notes = Notes::default();
    let mut missed = Vec::new();
    let mut outcome = None;
    for line in lines {
        match line? {
            Line::Deployment { .. } => bail!("a second deployment"),
            Line::Stop { at_ms } => {
                world.run_until(at_ms);
                outcome = Some(world.settle(at_ms + LAST_ANSWERS));
            }
            Line::Expect {
                measure,
                least,
                most,
            } => {
                let outcome = outcome.as_ref().context("an outcome before the end")?;
                let found = figure(measure, outcome, &world, &notes);
                let low = least.is_some_and(|bound| found < bound);
                if low || most.is_some_and(|bound| found > bound) {
                    missed.push(format!(
                        "{measure:?}: {found}, expected {least:?} to {most:?}"
                    ));
                }
            }
            event => act(&mut world, &event, &mut notes),
        }
    }
    if missed.is_empty() {
        return Ok(());
    }
    bail!("{}", missed.join("; "))
}

fn parse(line: &str) -> anyhow::Result<Line> {
    serde_json::from_str(line).with_context(|| format!("line {line}"))
}

fn act(world: &mut World, event: &Line, notes: &mut Notes) {
    match *event {
        Line::Measure { at_ms } => {
            world.run_until(at_ms);
            world.begin_measuring();
        }
        Line::Begin { at_ms, fault } => {
            world.run_until(at_ms);
            world.start(fault);
            if fault == Fault::WithdrawKey {
                notes.withdrawn = at_ms;
                notes.cut = world.cut;
            }
        }
        Line::End { at_ms, fault } => {
            world.run_until(at_ms);
            world.end(fault);
        }
        Line::Drain { at_ms } => {
            world.run_until(at_ms);
            world.drain();
        }
        Line::Deployment { .. } | Line::Stop { .. } | Line::Expect { .. } => {}
    }
}

#[allow(clippy::cast_precision_loss)]
fn figure(measure: Measure, o: &Outcome, world: &World, notes: &Notes) -> f64 {
    match measure {
        Measure::FalseRefusals => o.false_refusals,
        Measure::FalseWithoutClaims => o.false_without_claims,
        Measure::Drain => o.drain.unwrap_or(f64::INFINITY),
        Measure::WorstOfBest => o.shares.0 * 100.0 / o.shares.1,
        Measure::Overdraft => o.overdraft as f64,
        Measure::Moved => o.moved,
        Measure::MovedCount => o.moved_count as f64,
        Measure::RegionWork => o.region_work,
        Measure::CrashSpan => o.crash_span,
        Measure::RunsAfterWithdrawal => {
            world.last_run(SPIKER, notes.cut) as f64 - notes.withdrawn as f64
        }
        Measure::Failed => o.failed,
    }
}
