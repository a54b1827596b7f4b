//! Reads what targets say of themselves from the heads of their responses.

use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use waxwing_edge::{PauseRequest, SelectedTarget, TargetNotice};

use super::state::Shared;

/// Applies what a target says of itself in a response, counts it and logs what changed. The response must be that of the
/// selected process to the request that was sent to it.
pub(crate) fn apply_notice<B>(shared: &Shared, selected: &SelectedTarget, response: &Response<B>) {
    let notice = parse_notice(shared, response);
    if notice == TargetNotice::default() {
        return;
    }
    for kind in notice.kinds() {
        shared.metrics.count_notice(kind);
    }
    let now = shared.now();
    let change = shared.targets().on_notice(now, selected, notice);
    let (target_id, incarnation) = (selected.id.as_str(), selected.incarnation.0);
    if change.began_leaving {
        log::info!(target_id = target_id, incarnation = incarnation; "target is leaving");
    }
    if let Some(length) = change.began_pause {
        log::info!(
            target_id = target_id, incarnation = incarnation, pause_ms = length.0;
            "target asks for a pause"
        );
    }
    if change.first_odd_value {
        let value = response.headers().get(RETRY_AFTER);
        log::warn!(
            target_id = target_id, incarnation = incarnation, value:? = value;
            "length of a pause not usable"
        );
    }
}

fn parse_notice<B>(shared: &Shared, response: &Response<B>) -> TargetNotice {
    let headers = response.headers();
    let name = &shared.dialect.headers().leaving;
    let mut leaving = headers.get_all(name).iter();
    // With other statuses, the header concerns the caller alone.
    let is_rejection = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let pauses = headers.get_all(RETRY_AFTER).iter().filter(|_| is_rejection);
    TargetNotice {
        leaving: leaving.any(|value| value.as_bytes().trim_ascii() == b"1"),
        pause: pauses
            .map(|value| PauseRequest::parse(value.as_bytes()))
            .max(),
    }
}
