//! The commands.

pub(crate) mod apply;
pub(crate) mod entries;
pub(crate) mod explain;
pub(crate) mod get;
pub(crate) mod key;
pub(crate) mod status;
pub(crate) mod sweep;
pub(crate) mod watch;
pub(crate) mod write;

use waxwing_records::{Document, Kind, RecordName};
use waxwing_store::{ChangesOutcome, Object, Store};
use waxwing_types::{Millis, Revision};

/// Lists all objects under a prefix that changed after a revision, page by page.
pub(crate) async fn list(
    store: &dyn Store,
    prefix: &str,
    after: Revision,
    timeout: Millis,
) -> Result<(Vec<Object>, Revision), String> {
    let (mut all, mut after) = (Vec::new(), after);
    loop {
        match store.changes(prefix, after, Millis::ZERO, timeout).await {
            ChangesOutcome::Changes {
                objects,
                revision,
                more,
            } => {
                all.extend(objects);
                after = revision;
                if !more {
                    return Ok((all, revision));
                }
            }
            ChangesOutcome::Unreachable(reason) => return Err(unreachable_store(&reason)),
        }
    }
}

/// Lists the records that others refer to. Those that cannot be read are left out.
pub(crate) async fn referred(store: &dyn Store, timeout: Millis) -> Result<Vec<Document>, String> {
    let mut documents = Vec::new();
    for kind in [Kind::Workspace, Kind::Service, Kind::Region] {
        let prefix = format!("config/{}/", kind.as_str());
        let (objects, _) = list(store, &prefix, Revision(0), timeout).await?;
        let parsed = objects.iter().map(|o| Document::parse(&o.value));
        documents.extend(parsed.filter_map(Result::ok));
    }
    Ok(documents)
}

pub(crate) fn unreachable_store(reason: &str) -> String {
    format!("store: cannot be reached: {reason}")
}

/// The record's name in a path, or the path itself.
pub(crate) fn title(path: &str) -> String {
    RecordName::from_path(path).map_or_else(|| path.to_owned(), |id| id.to_string())
}
