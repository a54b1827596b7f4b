//! Checks that several kinds share.

use std::collections::BTreeSet;
use std::fmt::Display;

use crate::Findings;

/// Greatest length of a name in bytes. Names appear in paths of the store and in metric labels.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Checks the name of a record or of something that a record names.
pub(crate) fn check_name(place: &impl ToString, name: &str, out: &mut Findings) {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(valid) {
        out.add(
            place.to_string(),
            format!("expected 1 to {MAX_NAME_BYTES} letters, digits, \"-\" or \"_\""),
        );
    }
}

/// Checks a list of names, each of which may stand once.
pub(crate) fn check_names<T: Ord + Display>(place: &str, names: &[T], out: &mut Findings) {
    for (i, name) in names.iter().enumerate() {
        check_name(&format!("{place}[{i}]"), &name.to_string(), out);
    }
    check_unique(place, "", names, out);
}

/// Reports each item that equals an earlier one, at `place[i]` followed by `field`.
pub(crate) fn check_unique<T: Ord + Display>(
    place: &str,
    field: &str,
    items: impl IntoIterator<Item = T>,
    out: &mut Findings,
) {
    let mut seen = BTreeSet::new();
    for (i, item) in items.into_iter().enumerate() {
        let text = item.to_string();
        if !seen.insert(item) {
            out.add(
                format!("{place}[{i}]{field}"),
                format!("\"{text}\" stands twice"),
            );
        }
    }
}

/// Checks that an amount lies in a range.
pub(crate) fn check_range(place: &str, least: u64, most: u64, got: u64, out: &mut Findings) {
    if got < least || got > most {
        out.add(place, format!("expected {least} to {most}, got {got}"));
    }
}
