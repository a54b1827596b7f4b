//! One request of a caller, from its head to the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, COOKIE, EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Response};
use smol_str::SmolStr;
use waxwing_edge::{
    Admission, RouteMatch, RoutingTable, Selection, TargetCriteria, TargetKey, hash_bytes, mix64,
};
use waxwing_http::{Body, remove_hop_headers, remove_proxy_headers};
use waxwing_records::WorkspaceSpec;
use waxwing_types::{Millis, RefusalReason, RegionId, RetryReason, ServiceId};

use super::answer::Refusal;
use super::attempts::Attempts;
use super::body::{Gathered, gather};
use super::forward::{Attempt, AttemptEnd, forward};
use super::metric::Outcome;
use super::peers;
use super::state::Shared;

/// Bytes of a request body that are held before it is sent. Until then a request that a target refuses
/// can be sent elsewhere, and a slow upload takes no slot.
const HELD_BYTES: usize = 1 << 20;
/// Bytes of a request body from which on it is kept in the failure domain.
const BULKY_BYTES: usize = 16 * 1024;
/// Bytes of a body that count for its fingerprint.
const PRINT_BYTES: usize = 4096;
/// Pauses in which tokens of neighbours are awaited. An answer from the own region takes about 2 ms.
const TOKEN_PAUSES: [Duration; 2] = [Duration::from_millis(6), Duration::from_millis(14)];
/// Pause in which tokens of other regions are awaited. A message there and back takes 112 ms.
const FAR_TOKEN_PAUSE: Duration = Duration::from_millis(115);
/// Shortest objective with which it is worth that pause: a refusal is late after an eighth of it.
const FAR_TOKEN_OBJECTIVE: Millis = Millis(800);
/// Shortest time after which a refused caller is told to come back.
const LEAST_WAIT: Millis = Millis(50);
/// Longest time after which it is: callers honour a third of the time that they have left.
const MOST_WAIT: Millis = Millis(1000);
/// Targets that are tried in all, with those that could not be reached.
const MOST_TRIED: usize = 6;
/// Time that must be left for a further attempt.
const LEAST_LEFT: Millis = Millis(20);
/// Part in percent of the objective beyond which an answer is no longer worth a slot.
const LATE_PERCENT: u64 = 130;

/// A request and what is known of it.
pub(crate) struct Exchange<'a> {
    shared: &'a Arc<Shared>,
    head: Parts,
    began: Instant,
    arrived: Millis,
    /// Name of its route, empty until it is known.
    route: SmolStr,
    /// Its workspace, empty until it is known and where none is needed.
    workspace: SmolStr,
}

/// What a request needs to be sent.
struct Ready<'p> {
    access: RouteMatch<'p>,
    service: ServiceId,
    object: Option<u64>,
    bulky: bool,
    /// Time until which it is answered.
    deadline: Millis,
    print: u64,
}

impl<'a> Exchange<'a> {
    /// A request as it arrives, without its body.
    pub(crate) fn new(shared: &'a Arc<Shared>, head: Parts) -> Self {
        Self {
            shared,
            head,
            began: Instant::now(),
            arrived: shared.now(),
            route: SmolStr::default(),
            workspace: SmolStr::default(),
        }
    }

    /// Answers the request.
    pub(crate) async fn run(mut self, body: Incoming) -> Response<Body> {
        let shared = self.shared;
        let served = self.serve(body).await;
        let outcome = match &served {
            Ok(response) if response.status().is_server_error() => Outcome::Failed,
            Ok(_) => Outcome::Answered,
            Err(_) => Outcome::Refused,
        };
        let secs = self.began.elapsed().as_secs_f64();
        shared.metrics.ended(&self.route, outcome, secs);
        match served {
            Ok(response) => {
                log::debug!(
                    request = self.id().as_str(), route = self.route.as_str(),
                    workspace = self.workspace.as_str(), status = response.status().as_u16(),
                    age_ms = shared.now().since(self.arrived).0;
                    "request answered"
                );
                response
            }
            Err(refusal) => {
                let refusal = bounded(refusal);
                shared.metrics.refused(refusal.reason);
                log::debug!(
                    reason = refusal.reason.as_str(), request = self.id().as_str(),
                    route = self.route.as_str(), workspace = self.workspace.as_str(),
                    path = self.head.uri.path(), age_ms = shared.now().since(self.arrived).0,
                    retry_ms = refusal.wait.map_or(0, |wait| wait.0);
                    "request refused"
                );
                refusal.response(shared)
            }
        }
    }

    async fn serve(&mut self, body: Incoming) -> Result<Response<Body>, Refusal> {
        let shared = self.shared;
        let Some(plan) = shared.plan() else {
            return Err(Refusal::after(RefusalReason::ConfigStale, LEAST_WAIT));
        };
        let access = self.access(&plan)?;
        self.route = access.route.name.clone();
        if let Some(workspace) = access.workspace {
            self.workspace = workspace.id.0.clone();
        }
        let deadline = self.deadline(&access);
        if let Some(workspace) = access.workspace {
            self.admit(workspace, access.route.objective).await?;
        }
        let mut body = self.read_body(body, &plan, deadline).await?;
        let ready = self.ready(access, deadline, &body)?;
        if shared.poison().contains(shared.now(), ready.print) {
            return Err(Refusal::new(RefusalReason::Quarantined));
        }
        self.send(&ready, &mut body).await
    }

    fn access<'p>(&self, plan: &'p RoutingTable) -> Result<RouteMatch<'p>, Refusal> {
        let host = self.head.headers.get(HOST).and_then(|v| v.to_str().ok());
        let host = host.or_else(|| self.head.uri.host()).unwrap_or_default();
        let key = self.head.headers.get(AUTHORIZATION);
        let key = key.and_then(|v| v.to_str().ok());
        let key = key.and_then(|v| v.strip_prefix(self.shared.dialect.headers().scheme));
        let key = key.and_then(|v| v.strip_prefix(' ')).map(str::trim);
        plan.match_route(host, self.head.uri.path(), key)
            .map_err(Refusal::new)
    }

    /// The caller's own deadline or the route's, whichever comes first.
    fn deadline(&self, access: &RouteMatch<'_>) -> Millis {
        let name = &self.shared.dialect.headers().deadline;
        let asked = self.head.headers.get(name);
        let asked = asked.and_then(|v| v.to_str().ok()?.parse().ok());
        let asked = asked.map_or(Millis::MAX, Millis);
        self.arrived + access.route.timeout.min(asked)
    }

    /// Takes a token of the workspace's quota. A neighbour's token is awaited for a moment, then one of
    /// another region if the objective allows it.
    async fn admit(&self, workspace: &WorkspaceSpec, objective: Millis) -> Result<(), Refusal> {
        let shared = self.shared;
        let mut admission = shared.quota().admit(shared.now(), workspace);
        for (i, pause) in TOKEN_PAUSES.into_iter().enumerate() {
            let Admission::NoToken { .. } = admission else {
                return Ok(());
            };
            if !peers::ask_for(shared, &workspace.id, i > 0) && i == 0 {
                return refused(admission);
            }
            Timer::after(pause).await;
            admission = shared.quota().retry_admit(shared.now(), workspace);
        }
        if let Admission::NoToken { .. } = admission
            && objective >= FAR_TOKEN_OBJECTIVE
        {
            peers::ask_far(shared, &workspace.id);
            Timer::after(FAR_TOKEN_PAUSE).await;
            admission = shared.quota().retry_admit(shared.now(), workspace);
        }
        refused(admission)
    }

    async fn read_body(
        &self,
        body: Incoming,
        plan: &RoutingTable,
        deadline: Millis,
    ) -> Result<Gathered<Incoming>, Refusal> {
        let limit = plan.deployment().limits.body_bytes;
        let announced = self.head.headers.get(hyper::header::CONTENT_LENGTH);
        let announced = announced.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        if announced.is_some_and(|bytes| bytes > limit) {
            return Err(Refusal::new(RefusalReason::TooLarge));
        }
        let reading = async {
            let gathered = gather(body, HELD_BYTES).await;
            gathered.map_err(|_| Refusal::new(RefusalReason::BadRequest))
        };
        let timer = self.timer(deadline);
        let expired = async {
            timer.await;
            Err(Refusal::new(RefusalReason::DeadlineExceeded))
        };
        futures_lite::future::or(reading, expired).await
    }

    fn ready<'p>(
        &mut self,
        access: RouteMatch<'p>,
        deadline: Millis,
        body: &Gathered<Incoming>,
    ) -> Result<Ready<'p>, Refusal> {
        let service = access.select_service(fastrand::f64());
        let service = service.ok_or(Refusal::new(RefusalReason::RouteUnknown))?;
        let object = self.object().map(|object| hash_bytes(object.as_bytes()));
        let object = object.filter(|_| access.route.affinity);
        let path = hash_bytes(self.head.uri.path().as_bytes());
        let workspace = access.workspace.map_or("", |w| w.id.as_str());
        let start = &body.start[..body.start.len().min(PRINT_BYTES)];
        let content = mix64(hash_bytes(start), object.unwrap_or_default());
        let print = mix64(mix64(path, hash_bytes(workspace.as_bytes())), content);
        self.strip_headers();
        Ok(Ready {
            service: service.clone(),
            access,
            object,
            bulky: body.start.len() > BULKY_BYTES,
            deadline,
            print,
        })
    }

    /// Sends the request until it is answered, or may not be sent again.
    async fn send(
        &mut self,
        ready: &Ready<'_>,
        body: &mut Gathered<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let shared = self.shared;
        let mut record = Attempts::default();
        shared
            .budgets()
            .record_request(shared.now(), &ready.service);
        loop {
            let (key, view) = match self.pick(ready, &record.tried) {
                Selection::Selected(key, view) => (key, view),
                Selection::Overloaded { wait } => {
                    return Err(record.refusal(RefusalReason::QueueFull, wait));
                }
                Selection::NoTarget => {
                    return Err(record.refusal(RefusalReason::NoTarget, LEAST_WAIT));
                }
            };
            log::debug!(
                request = self.id().as_str(), service = ready.service.as_str(),
                target_id = view.id.as_str(), region = view.region.as_str(),
                wait_ms = view.expected_wait.0, attempt = record.tried.len() + 1,
                left_ms = ready.deadline.since(shared.now()).0;
                "request sent"
            );
            let attempt = Attempt {
                head: &self.head,
                key,
                target: view,
                workspace: ready.access.workspace.map(|w| &w.id),
                deadline: ready.deadline,
                kind: ready.access.route.kind,
                print: ready.print,
            };
            let timer = self.timer(ready.deadline);
            let replayable = body.rest.is_none();
            let end = forward(shared, &attempt, body.take(), timer).await;
            record.tried.push(key);
            let reason = match end {
                AttemptEnd::Answered(response) => return Ok(response),
                AttemptEnd::TimedOut => return Err(Refusal::new(RefusalReason::TargetTimeout)),
                AttemptEnd::Failed(response) => {
                    record.sent(RefusalReason::TargetFailed);
                    if !replayable || !self.may_repeat(ready, &record) {
                        return Ok(response);
                    }
                    RetryReason::TargetFailed
                }
                AttemptEnd::Unsent => RetryReason::ConnectFailed,
                AttemptEnd::NotRun => {
                    record.sent(RefusalReason::TargetsShedding);
                    RetryReason::TargetShed
                }
                AttemptEnd::Broken => {
                    record.sent(RefusalReason::TargetFailed);
                    RetryReason::ConnectionBroken
                }
            };
            if !replayable || !self.may_repeat(ready, &record) {
                return Err(record.refusal(RefusalReason::NoTarget, LEAST_WAIT));
            }
            shared.metrics.retried(reason);
            if record.sends > 0 {
                shared.budgets().record_retry(shared.now(), &ready.service);
            }
        }
    }

    fn pick(&self, ready: &Ready<'_>, tried: &[TargetKey]) -> Selection {
        let shared = self.shared;
        let now = shared.now();
        let objective = ready.access.route.objective;
        let late = self.arrived + Millis(objective.0 * LATE_PERCENT / 100);
        let allowed = |region: &RegionId| ready.access.allows_region(region);
        let want = TargetCriteria {
            service: &ready.service,
            affinity_hash: ready.object,
            large_body: ready.bulky,
            region_allowed: &allowed,
            tried,
            time_left: late.min(ready.deadline).since(now),
            latency_objective: objective,
        };
        let mut rng = fastrand::Rng::new();
        shared.targets().select(now, &want, &mut rng)
    }

    /// Whether the request may be sent once more. One that reached no target does not count.
    fn may_repeat(&self, ready: &Ready<'_>, record: &Attempts) -> bool {
        let shared = self.shared;
        let now = shared.now();
        let route = ready.access.route;
        if record.may_have_run() && !route.kind.is_idempotent() {
            return false;
        }
        if now + LEAST_LEFT >= ready.deadline || record.tried.len() >= MOST_TRIED {
            return false;
        }
        if record.sends == 0 {
            return true;
        }
        let vms = shared.fleet().vm_count();
        record.sends < route.attempts && shared.budgets().allows_retry(now, &ready.service, vms)
    }

    fn timer(&self, deadline: Millis) -> waxwing_http::CoarseSleep {
        let left = deadline.since(self.arrived);
        self.shared.timer.sleep_until(self.began + left.duration())
    }

    /// The object that the request is about, from its cookie.
    fn object(&self) -> Option<SmolStr> {
        let name = self.shared.dialect.headers().object;
        let cookies = self.head.headers.get_all(COOKIE).iter();
        let cookies = cookies.filter_map(|v| v.to_str().ok());
        let mut pairs = cookies
            .flat_map(|v| v.split(';'))
            .filter_map(|pair| pair.trim().split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value.into())
    }

    fn id(&self) -> SmolStr {
        let name = &self.shared.dialect.headers().request_id;
        let id = self.head.headers.get(name).and_then(|v| v.to_str().ok());
        id.unwrap_or_default().into()
    }

    fn strip_headers(&mut self) {
        let names = self.shared.dialect.headers();
        let headers: &mut HeaderMap = &mut self.head.headers;
        remove_hop_headers(headers);
        remove_proxy_headers(headers);
        headers.remove(AUTHORIZATION);
        headers.remove(EXPECT);
        headers.remove(&names.workspace);
        headers.remove(&names.instance);
    }
}

/// The refusal of a request that found no token.
fn refused(admission: Admission) -> Result<(), Refusal> {
    match admission {
        Admission::Admitted => Ok(()),
        Admission::NoToken { wait } => Err(Refusal::after(RefusalReason::RateLimited, wait)),
    }
}

/// A refusal whose wait is within the bounds.
fn bounded(refusal: Refusal) -> Refusal {
    Refusal {
        wait: refusal.wait.map(|wait| wait.clamp(LEAST_WAIT, MOST_WAIT)),
        ..refusal
    }
}
