//! Reads what targets say of themselves from the heads of their responses, and shows it to operators.

use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use serde::Serialize;
use waxwing_edge::{NoticeKind, NoticedTarget, PauseRequest, SelectedTarget, TargetNotice};
use waxwing_http::ConnectionInfo;
use waxwing_types::{Incarnation, Millis, ServiceId, TargetId};

use super::state::Shared;

/// Applies what a target says of itself in a response, counts it and logs what changed. The response must be that of the
/// selected process to the request that was sent to it.
pub(crate) fn apply_notice<B>(
    shared: &Shared,
    selected: &SelectedTarget,
    response: &Response<B>,
    connection: Option<ConnectionInfo>,
) {
    let notice = parse_notice(shared, response);
    if notice == TargetNotice::default() {
        return;
    }
    for kind in notice.kinds() {
        shared.metrics.count_notice(kind);
    }
    let now = shared.now();
    let change = shared.targets().on_notice(now, selected, notice);
    if let (Some(pause), Some(connection)) = (notice.pause, connection) {
        let mut targets = shared.targets();
        targets.on_unidentified_pause(now, selected, pause, connection.age);
    }
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

/// A target that gets no requests because of what it said.
#[derive(Serialize)]
struct NoticeRow {
    id: TargetId,
    incarnation: Incarnation,
    service: ServiceId,
    /// What the target said, as in the label of the metric.
    why: Vec<&'static str>,
    /// Time until the end of the pause, zero without one.
    pause_ms: Millis,
    /// What the entry of the target says.
    entry: &'static str,
}

#[derive(Serialize)]
struct NoticeList {
    targets: Vec<NoticeRow>,
}

/// Renders the targets that get no requests because of what they said, as JSON.
pub(crate) fn render_notices(shared: &Shared) -> String {
    let noticed = shared.targets().noticed_targets(shared.now());
    let targets = noticed.into_iter().map(NoticeRow::from).collect();
    // Numbers and texts cannot fail to be written.
    serde_json::to_string(&NoticeList { targets }).unwrap_or_default()
}

impl From<NoticedTarget> for NoticeRow {
    fn from(target: NoticedTarget) -> Self {
        let leaving = target.leaving.then_some(NoticeKind::Leaving);
        let pause = (target.pause_left > Millis::ZERO).then_some(NoticeKind::Pause);
        Self {
            why: leaving
                .into_iter()
                .chain(pause)
                .map(NoticeKind::as_str)
                .collect(),
            id: target.id,
            incarnation: target.incarnation,
            service: target.service,
            pause_ms: target.pause_left,
            entry: if target.entry_drains {
                "draining"
            } else {
                "ready"
            },
        }
    }
}
