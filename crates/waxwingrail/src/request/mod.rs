//! Requests of callers, and those that entry VMs of other regions pass on.

mod arrive;
mod claim;
mod driver;
mod outbound;
pub(crate) mod query;
mod relay;
mod upload;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use waxwing_core::Refusal;
use waxwing_http::{Body, Handler, Problem};
use waxwing_types::{Ran, RefusalReason};

use crate::lookup;
use crate::state::Shared;
use arrive::Fault;
use upload::{Upload, UploadFault};

/// Answers callers.
pub(crate) struct Callers(pub(crate) Arc<Shared>);

/// Answers entry VMs of other regions.
pub(crate) struct Regions(pub(crate) Arc<Shared>);

impl Handler for Callers {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            let shared = &self.0;
            if request.uri().path() == lookup::PATH {
                return lookup::answer(shared, &request, peer.ip());
            }
            let (head, body) = request.into_parts();
            let arrival = arrive::from_caller(&head, peer.ip(), shared.settings.max_body_bytes);
            serve(shared, head, body, arrival).await
        })
    }

    fn rejected(&self, reason: RefusalReason) {
        self.0.metrics.refused(reason);
    }

    fn overloaded(&self) {
        self.0.metrics.overloads.increment(1);
    }
}

impl Handler for Regions {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            let shared = &self.0;
            let (head, body) = request.into_parts();
            if !shared.is_entry_vm(peer.ip()) {
                let detail = "the sender is not an entry VM";
                return refuse_early(shared, RefusalReason::KeyInvalid, detail);
            }
            let arrival = arrive::from_region(&head, peer.ip(), shared.settings.max_body_bytes);
            serve(shared, head, body, arrival).await
        })
    }

    fn rejected(&self, reason: RefusalReason) {
        self.0.metrics.refused(reason);
    }
}

async fn serve(
    shared: &Arc<Shared>,
    head: Parts,
    body: Incoming,
    arrival: Result<waxwing_core::IncomingRequest, Fault>,
) -> Response<Body> {
    shared.metrics.requests.increment(1);
    if !shared.is_configured() {
        let detail = "the configuration has not arrived yet";
        return refuse_early(shared, RefusalReason::ConfigStale, detail);
    }
    let mut arrival = match arrival {
        Ok(arrival) => arrival,
        Err(fault) => return refuse_early(shared, fault.reason, fault.detail),
    };
    let upload = Upload::new(body, shared.settings.max_body_bytes);
    match beginning(shared, &upload).await {
        Ok(hash) => arrival.body_prefix_hash = hash,
        Err(detail) => return refuse_early(shared, detail.0, detail.1),
    }
    driver::drive(shared, arrival, head, upload).await
}

/// Reads the beginning of the body, on which the fingerprint of the request depends.
async fn beginning(shared: &Shared, upload: &Upload) -> Result<u64, (RefusalReason, &'static str)> {
    let timer = async {
        async_io::Timer::after(shared.settings.header_timeout.duration()).await;
        None
    };
    let hash = async { Some(upload.hash_beginning().await) };
    match futures_lite::future::or(hash, timer).await {
        Some(Ok(hash)) => Ok(hash),
        Some(Err(UploadFault::TooLarge)) => {
            Err((RefusalReason::TooLarge, "the body exceeds the limit"))
        }
        Some(Err(UploadFault::CallerBroke)) => {
            Err((RefusalReason::BadRequest, "the body broke off"))
        }
        None => Err((RefusalReason::BadRequest, "the body did not begin in time")),
    }
}

fn refuse_early(shared: &Shared, reason: RefusalReason, detail: &str) -> Response<Body> {
    refuse(shared, &Refusal::new(reason, Ran::No), detail)
}

/// Counts a refusal and builds its response.
fn refuse(shared: &Shared, refusal: &Refusal, detail: &str) -> Response<Body> {
    shared.metrics.refused(refusal.reason);
    log::debug!(
        reason = refusal.reason.as_str(), ran = refusal.ran.as_str(), detail = detail;
        "request refused"
    );
    let mut response = Problem {
        status: StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
        reason: refusal.reason.as_str(),
        ran: refusal.ran,
        detail,
        retry_after: refusal
            .retry_after
            .map(|wait| Duration::from_millis(wait.0)),
    }
    .response();
    if refusal.ran == Ran::No {
        let one = hyper::header::HeaderValue::from_static("1");
        response.headers_mut().insert(arrive::X_NOT_RUN, one);
    }
    response
}
