//! The measures of section 1.2 of the design page, beside two baselines, on virtual time.
//!
//! `cargo run --release -p waxwing_bench --example measures -- [--seed 1] [--case NAME]
//! [--deployment NAME]`

use lexopt::prelude::*;
use waxwing_bench::fleet::{CASES, Case, DEPLOYMENTS, Fault, Outcome, Size, System};

#[derive(Default)]
struct Options {
    seed: u64,
    case: Option<String>,
    deployment: Option<String>,
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let wanted = |filter: &Option<String>, name| filter.as_ref().is_none_or(|f| f == name);
    for size in &DEPLOYMENTS {
        for case in &CASES {
            if wanted(&options.case, case.name) && wanted(&options.deployment, size.name) {
                measure(size, case, options.seed);
            }
        }
    }
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut options = Options {
        seed: 1,
        ..Options::default()
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("case") => options.case = Some(parser.value()?.string()?),
            Long("deployment") => options.deployment = Some(parser.value()?.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

/// Runs a case for all systems at once and prints the results.
fn measure(size: &'static Size, case: &'static Case, seed: u64) {
    let run = |system| std::thread::spawn(move || case.run(size, system, seed));
    let runs = System::ALL.map(run);
    let outcomes = runs.map(|thread| thread.join().expect("the simulation panicked"));
    println!("{} {}", size.name, case.name);
    println!(
        "  {:11} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>7} {:>15} {:>13} {:>7} {:>7} {:>7}",
        "system",
        "requests",
        "p50 ms",
        "p99",
        "p99.9",
        "free %",
        "max %",
        "drain",
        "served % w/b",
        "p99 w/b",
        "false %",
        "failed%",
        "noclaim"
    );
    for (system, outcome) in System::ALL.iter().zip(&outcomes) {
        print_row(*system, outcome);
    }
    print_goals(case, &outcomes);
}

fn print_row(system: System, o: &Outcome) {
    let [p50, p99, p999] = o.latency;
    let drain = o.drain.map_or("-".to_owned(), |d| format!("{d:.0}"));
    println!(
        "  {:11} {:8} {p50:7.1} {p99:7.1} {p999:7.1} {:6.1} {:6.1} {drain:>7} {:7.2}/{:7.2} \
         {:6.0}/{:6.0} {:7.3} {:7.3} {:7.3}",
        system.as_str(),
        o.asked,
        o.headroom,
        o.peak_use,
        o.shares.0,
        o.shares.1,
        o.tails.0,
        o.tails.1,
        o.false_refusals,
        o.failed,
        o.false_without_claims,
    );
    if !o.reasons.is_empty() {
        let reasons = o.reasons.iter().map(|(r, n)| format!("{r} {n}"));
        println!(
            "    refused inside: {}",
            reasons.collect::<Vec<_>>().join(", ")
        );
    }
}

fn print_goals(case: &Case, outcomes: &[Outcome; 3]) {
    let [own, others @ ..] = outcomes;
    let bound = if matches!(case.fault, Fault::Calm | Fault::Spike) {
        0.1
    } else {
        1.0
    };
    let mut goals = vec![goal("false refusals", own.false_refusals < bound)];
    if case.fault == Fault::Spike {
        goals.push(goal(
            "served worst/best",
            own.shares.0 >= 0.9 * own.shares.1,
        ));
        goals.push(goal("p99 worst/best", own.tails.0 <= 1.1 * own.tails.1));
    }
    if let Some(drain) = own.drain {
        goals.push(goal("drain", drain < 5_000.0));
    }
    goals.push(goal("rate and burst", own.overdraft <= 0));
    if own.moved_count > 0 {
        if case.fault == Fault::Shift {
            let text = format!("cap ({:.0} % at peak)", own.moved);
            goals.push(goal(&text, own.moved <= 100.0));
        }
        let text = format!("spare ({:.0} % at peak)", own.region_work);
        goals.push(goal(&text, own.region_work <= 100.0));
    }
    println!("    goals: {}", goals.join(", "));
    println!("    ahead: {}", ahead(own, others).join(", "));
}

#[allow(clippy::cast_precision_loss)]
fn answers(o: &Outcome) -> f64 {
    (o.asked as f64 - o.refused as f64).max(1.0)
}

fn goal(name: &str, met: bool) -> String {
    format!("{name} {}", if met { "met" } else { "SHORT" })
}

/// A name and a figure that is better the lower it is.
type Measure = (&'static str, fn(&Outcome) -> f64);

/// Compares with the better baseline. Differences up to 2 % are ties.
fn ahead(own: &Outcome, others: &[Outcome]) -> Vec<String> {
    let measures: [Measure; 9] = [
        ("p50", |o| o.latency[0]),
        ("p99", |o| o.latency[1]),
        ("p99.9", |o| o.latency[2]),
        ("slots per answer", |o| (100.0 - o.headroom) / answers(o)),
        ("max", |o| o.peak_use),
        ("drain", |o| o.drain.unwrap_or(0.0)),
        ("unserved worst", |o| 100.0 - o.shares.0),
        ("p99 worst", |o| o.tails.0),
        ("false", |o| o.false_refusals),
    ];
    let compare = |(name, of): &Measure| {
        let best = others.iter().map(of).fold(f64::INFINITY, f64::min);
        let mine = of(own);
        let word = if mine <= best * 0.98 - 0.0001 {
            "ahead"
        } else if mine <= best * 1.02 + 0.02 {
            "tie"
        } else {
            "BEHIND"
        };
        format!("{name} {word}")
    };
    measures.iter().map(compare).collect()
}
