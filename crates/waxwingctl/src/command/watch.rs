//! `watch`.

use std::collections::BTreeMap;
use std::fmt;

use async_io::Timer;
use serde::Serialize;
use serde_json::Value;
use smol_str::SmolStr;
use waxwing_store::{ChangesOutcome, Object, Store};
use waxwing_types::{Millis, Revision};

use super::{list, title};
use crate::Exit;
use crate::diff::{Difference, Lines, differences};
use crate::report::Console;

/// Time for which the store may hold a watch.
const WAIT: Millis = Millis::from_secs(20);
/// Pause after a failed watch.
const PAUSE: Millis = Millis::from_secs(1);

#[derive(Serialize)]
struct Change {
    record: String,
    version: Revision,
    action: &'static str,
    differences: Vec<Difference>,
}

/// Prints changes of records as they come, at most `limit`.
pub(crate) async fn watch(
    console: &mut Console<'_>,
    store: &dyn Store,
    limit: Option<u64>,
    timeout: Millis,
) -> Exit {
    let (objects, mut after) = match list(store, "config/", Revision(0), timeout).await {
        Ok(listed) => listed,
        Err(reason) => return console.fail(Exit::Failed, &[reason]),
    };
    let known = objects.into_iter().map(|o| (o.path.clone(), parse(&o)));
    let mut known: BTreeMap<SmolStr, Value> = known.collect();
    let mut left = limit.unwrap_or(u64::MAX);
    let mut connected = true;
    while left > 0 {
        match store.changes("config/", after, WAIT, timeout).await {
            ChangesOutcome::Changes {
                objects, revision, ..
            } => {
                if !connected {
                    console.note("the store answers again");
                }
                connected = true;
                after = revision;
                for object in objects {
                    if left == 0 {
                        break;
                    }
                    left -= 1;
                    console.report(&change(&mut known, &object));
                }
            }
            ChangesOutcome::Unreachable(reason) => {
                if connected {
                    console.note(&super::unreachable_store(&reason));
                }
                connected = false;
                Timer::after(PAUSE.duration()).await;
            }
        }
    }
    Exit::Done
}

fn parse(object: &Object) -> Value {
    serde_json::from_slice(&object.value).unwrap_or(Value::Null)
}

fn change(known: &mut BTreeMap<SmolStr, Value>, object: &Object) -> Change {
    let new = parse(object);
    let withdrawn = new.get("withdrawn").and_then(Value::as_bool) == Some(true);
    let (action, differences) = match known.insert(object.path.clone(), new.clone()) {
        Some(_) if withdrawn => ("withdrawn", Vec::new()),
        Some(old) => ("changed", differences(&old, &new)),
        None => ("created", Vec::new()),
    };
    Change {
        record: title(&object.path),
        version: object.version,
        action,
        differences,
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            record,
            version,
            action,
            ..
        } = self;
        let lines = Lines(&self.differences);
        write!(f, "{record}: {action} (version {version}){lines}")
    }
}
