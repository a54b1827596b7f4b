//! `sweep`.

use std::fmt;

use serde::Serialize;
use waxwing_store::{Store, WriteOutcome};
use waxwing_types::{Millis, Revision};

use super::list;
use crate::Exit;
use crate::report::Console;

#[derive(Default, Serialize)]
struct Report {
    /// Records deleted.
    deleted: u64,
    /// Records that are younger.
    kept: u64,
    /// Records without a time of creation, which are kept.
    undated: u64,
    /// Records that changed or went away in the meantime, which are left alone.
    changed: u64,
    /// Deletions whose outcome is not known. The next sweep finds the rest.
    unknown: u64,
}

/// Deletes idempotency records that were created more than `hours` before `now` (seconds since
/// 1970).
pub(crate) async fn sweep(
    console: &mut Console<'_>,
    store: &dyn Store,
    hours: u64,
    now: u64,
    timeout: Millis,
) -> Exit {
    let (objects, _) = match list(store, "claims/", Revision(0), timeout).await {
        Ok(listed) => listed,
        Err(reason) => return console.fail(Exit::Failed, &[reason]),
    };
    let before = now.saturating_sub(hours * 3600);
    let mut report = Report::default();
    for object in objects {
        match created(&object.value) {
            None => report.undated += 1,
            Some(created) if created >= before => report.kept += 1,
            Some(_) => match store.delete(&object.path, object.version, timeout).await {
                WriteOutcome::Created(_) | WriteOutcome::Updated(_) => report.deleted += 1,
                WriteOutcome::Conflict(_) | WriteOutcome::Absent => report.changed += 1,
                WriteOutcome::Unknown(_) => report.unknown += 1,
                WriteOutcome::Rejected { message, .. } | WriteOutcome::Unreachable(message) => {
                    console.report(&report);
                    return console.fail(Exit::Failed, &[format!("{}: {message}", object.path)]);
                }
            },
        }
    }
    console.report(&report);
    if report.unknown > 0 {
        Exit::Unknown
    } else {
        Exit::Done
    }
}

/// When a record was created, in seconds since 1970: the word `created=SECONDS` of its line of text.
fn created(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?;
    let mut words = text.split_ascii_whitespace();
    words.find_map(|w| w.strip_prefix("created="))?.parse().ok()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} deleted, {} younger", self.deleted, self.kept)?;
        let rare = [
            (self.undated, "without a time of creation (kept)"),
            (self.changed, "changed in the meantime (left alone)"),
            (self.unknown, "with unknown outcome (sweep again)"),
        ];
        let rare = rare.into_iter().filter(|(count, _)| *count > 0);
        rare.into_iter()
            .try_for_each(|(count, text)| write!(f, ", {count} {text}"))
    }
}
