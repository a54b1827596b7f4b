//! `status`.

use std::fmt;

use serde::Serialize;
use waxwing_store::{DomainStatus, Object, Store};
use waxwing_types::{Millis, Revision};

use super::list;
use crate::Exit;
use crate::report::{Console, columns};

/// Age of a configuration beyond which a failure domain is late: changes are to be in force
/// everywhere within this time (design page, section 1.5).
const LATE: Millis = Millis::from_secs(13);
/// Age of a report beyond which it is old. Reports are written every 30 s.
const OLD_REPORT_SECS: u64 = 75;

#[derive(Serialize)]
struct Row {
    domain: String,
    #[serde(flatten)]
    status: DomainStatus,
    /// Records that are newer than the revision in force.
    behind: usize,
    /// Seconds since the report was written.
    reported: u64,
    state: &'static str,
}

#[derive(Serialize)]
struct Report {
    /// Version of the newest record, if it is newer than what some failure domain has.
    newest: Revision,
    domains: Vec<Row>,
    /// Reports that cannot be read.
    faulty: Vec<String>,
}

/// Prints the state of the failure domains. `now` is in seconds since 1970.
pub(crate) async fn status(
    console: &mut Console<'_>,
    store: &dyn Store,
    now: u64,
    timeout: Millis,
) -> Exit {
    let listed = list(store, "status/", Revision(0), timeout).await;
    let (objects, _) = match listed {
        Ok(listed) => listed,
        Err(reason) => return console.fail(Exit::Failed, &[reason]),
    };
    let (statuses, faulty) = parse(&objects);
    let oldest = statuses.iter().map(|(_, s)| s.revision).min();
    let newer = list(store, "config/", oldest.unwrap_or_default(), timeout).await;
    let newer = match newer {
        Ok((objects, _)) => objects.iter().map(|o| o.version).collect::<Vec<_>>(),
        Err(reason) => return console.fail(Exit::Failed, &[reason]),
    };
    let newest = newer.iter().copied().chain(oldest).max();
    let rows = statuses.into_iter().map(|(d, s)| row(d, s, &newer, now));
    console.report(&Report {
        newest: newest.unwrap_or_default(),
        domains: rows.collect(),
        faulty,
    });
    Exit::Done
}

/// Failure domains with their status in the order of their names, and faults.
fn parse(objects: &[Object]) -> (Vec<(String, DomainStatus)>, Vec<String>) {
    let (mut statuses, mut faulty) = (Vec::new(), Vec::new());
    for object in objects {
        match serde_json::from_slice::<DomainStatus>(&object.value) {
            Ok(status) => {
                let domain = object.path.trim_start_matches("status/");
                statuses.push((domain.to_owned(), status));
            }
            Err(error) => faulty.push(format!("{}: {error}", object.path)),
        }
    }
    statuses.sort_by(|(a, _), (b, _)| a.cmp(b));
    (statuses, faulty)
}

fn row(domain: String, status: DomainStatus, newer: &[Revision], now: u64) -> Row {
    let behind = newer.iter().filter(|v| **v > status.revision).count();
    let reported = now.saturating_sub(status.written);
    let state = if reported > OLD_REPORT_SECS {
        "no report"
    } else if status.age_ms.is_none_or(|age| age > LATE) {
        "late"
    } else if behind > 0 {
        "behind"
    } else {
        "ok"
    };
    Row {
        domain,
        status,
        behind,
        reported,
        state,
    }
}

fn seconds(age: Millis) -> String {
    format!("{}.{} s", age.0 / 1000, age.0 % 1000 / 100)
}

impl Report {
    fn summary(&self) -> String {
        let count = |state| self.domains.iter().filter(|r| r.state == state).count();
        let sum = |f: fn(&Row) -> usize| self.domains.iter().map(f).sum::<usize>();
        format!(
            "{} failure domains: {} ok, {} behind, {} late, {} without report; VMs: {} live, {} leaving",
            self.domains.len(),
            count("ok"),
            count("behind"),
            count("late"),
            count("no report"),
            sum(|r| r.status.live),
            sum(|r| r.status.leaving),
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.summary())?;
        let title = [
            "DOMAIN", "STATE", "REVISION", "BEHIND", "AGE", "LIVE", "LEAVING", "REPORTED", "BY",
        ];
        let mut rows = vec![title.map(str::to_owned).to_vec()];
        for row in &self.domains {
            let status = &row.status;
            rows.push(vec![
                row.domain.clone(),
                row.state.to_owned(),
                status.revision.to_string(),
                row.behind.to_string(),
                status.age_ms.map_or("never heard".into(), seconds),
                status.live.to_string(),
                status.leaving.to_string(),
                format!("{} s ago", row.reported),
                status.vm.to_string(),
            ]);
        }
        f.write_str(&columns(&rows))?;
        for fault in &self.faulty {
            write!(f, "\ncannot be read: {fault}")?;
        }
        Ok(())
    }
}
