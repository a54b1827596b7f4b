//! One request with its fallback from entry VM to entry VM.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::http::request::Builder;
use hyper::{Method, Request, Response};
use serde::Deserialize;
use smol_str::SmolStr;
use waxwing_http::{Body, Client, ClientLimits, SendError, empty, full};

use super::lookup::{Cache, RouteAnswer};

/// Time allowed for one look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);
/// Time beyond the deadline for the daemon's rejection at the deadline to arrive.
const GRACE: Duration = Duration::from_millis(300);
/// Bytes of a response that are kept. The rest is counted.
const KEPT_BYTES: usize = 64 * 1024;

/// Who calls and through which VMs.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// VMs to ask for the entry VMs.
    pub entries: Vec<SocketAddr>,
    /// The only VM to send to, without a look-up.
    pub vm: Option<SocketAddr>,
    /// Service to call.
    pub service: String,
    /// Client address named in look-ups.
    pub client: IpAddr,
    /// Key to present.
    pub key: Option<String>,
    /// Time allowed for a request over all attempts.
    pub timeout: Duration,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path below the service, starting with `/`.
    pub path: String,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status of the response. `None`: no complete response.
    pub status: Option<u16>,
    /// Field `reason` of a rejection, or why there is no response.
    pub reason: SmolStr,
    /// Field `ran` of a rejection.
    pub ran: SmolStr,
    /// The VM that answered, or that was tried last.
    pub vm: Option<SocketAddr>,
    /// Header `X-Target` of the response.
    pub target: SmolStr,
    /// VMs that were tried.
    pub attempts: u32,
    /// Time to the end of the response.
    pub time: Duration,
    /// Bytes of the response body.
    pub bytes: usize,
    /// Start of the response body.
    pub body: Vec<u8>,
}

#[derive(Deserialize)]
struct ProblemBody {
    reason: SmolStr,
    ran: SmolStr,
}

struct Inner {
    client: Client,
    settings: CallerSettings,
    cache: Mutex<Cache>,
}

/// A caller. Clones share connections and the cached look-up.
#[derive(Clone)]
pub struct Caller {
    inner: Arc<Inner>,
}

impl Caller {
    /// A caller whose connections are driven by `executor`.
    pub fn new(executor: &Arc<Executor<'static>>, settings: CallerSettings) -> Self {
        let limits = ClientLimits {
            idle: 1024,
            ..ClientLimits::default()
        };
        Self {
            inner: Arc::new(Inner {
                client: Client::new(Arc::clone(executor), limits),
                settings,
                cache: Mutex::default(),
            }),
        }
    }

    /// The entry VMs: from the cache within its lifetime, else looked up at the VMs known.
    ///
    /// Empty only if no VM ever answered.
    pub async fn entry_vms(&self) -> Vec<SocketAddr> {
        if let Some(vm) = self.inner.settings.vm {
            return vec![vm];
        }
        if let Some(vms) = self.cache().fresh() {
            return vms;
        }
        let last = self.cache().last();
        let known = last.iter().chain(&self.inner.settings.entries);
        for address in known.copied().collect::<Vec<_>>() {
            if let Some(answer) = self.look_up(address).await {
                self.cache().keep(&answer);
                return answer.vms.iter().map(|vm| vm.address).collect();
            }
        }
        last
    }

    /// Asks one VM for the entry VMs.
    pub async fn look_up(&self, address: SocketAddr) -> Option<RouteAnswer> {
        let CallerSettings {
            service, client, ..
        } = &self.inner.settings;
        let uri = format!("/v1/route?service={service}&client={client}");
        let request = Request::get(uri).body(empty()).ok()?;
        let answer = async {
            let response = self.inner.client.send(address, request).await.ok()?;
            let (_, body) = read(response).await.ok()?;
            serde_json::from_slice(&body).ok()
        };
        let expired = async {
            Timer::after(LOOKUP_TIMEOUT).await;
            None
        };
        answer.or(expired).await
    }

    /// Sends a request to the entry VMs in order until one answers.
    pub async fn send(&self, call: &Call) -> Outcome {
        let start = Instant::now();
        let expired = async {
            Timer::after(self.inner.settings.timeout + GRACE).await;
            Outcome {
                reason: "caller_timeout".into(),
                ..Outcome::default()
            }
        };
        let mut outcome = self.send_in_order(call).or(expired).await;
        outcome.time = start.elapsed();
        outcome
    }

    async fn send_in_order(&self, call: &Call) -> Outcome {
        let mut outcome = Outcome {
            reason: "no_entry_vm".into(),
            ..Outcome::default()
        };
        for (i, address) in self.entry_vms().await.into_iter().enumerate() {
            let (next, again) = self.attempt(address, call).await;
            outcome = next;
            outcome.attempts = u32::try_from(i + 1).unwrap_or(u32::MAX);
            if !again {
                break;
            }
            self.cache().expire();
        }
        outcome
    }

    /// Sends a request to one VM and says whether the next VM is to be tried.
    async fn attempt(&self, address: SocketAddr, call: &Call) -> (Outcome, bool) {
        let mut outcome = Outcome {
            vm: Some(address),
            ..Outcome::default()
        };
        let request = match self.request(call) {
            Ok(request) => request,
            Err(error) => {
                outcome.reason = error.to_string().into();
                return (outcome, false);
            }
        };
        // A key makes a second attempt safe; GET requests are idempotent in both deployments.
        let repeatable = call.method == Method::GET || call.idempotency_key.is_some();
        let response = match self.inner.client.send(address, request).await {
            Ok(response) => response,
            Err(
                SendError::Connect(_)
                | SendError::Withdrawn
                | SendError::Unanswered
                | SendError::NotSent(_),
            ) => {
                outcome.reason = "unreachable".into();
                return (outcome, true);
            }
            Err(SendError::Broken(_) | SendError::Unmatched | SendError::NoFinalStatus(_)) => {
                outcome.reason = "broken".into();
                return (outcome, repeatable);
            }
        };
        let status = response.status();
        let target = response.headers().get("x-target");
        outcome.target = target
            .and_then(|t| t.to_str().ok())
            .unwrap_or_default()
            .into();
        let Ok((bytes, body)) = read(response).await else {
            outcome.reason = "broken".into();
            return (outcome, repeatable);
        };
        outcome.status = Some(status.as_u16());
        outcome.bytes = bytes;
        if !status.is_success()
            && let Ok(problem) = serde_json::from_slice::<ProblemBody>(&body)
        {
            outcome.reason = problem.reason;
            outcome.ran = problem.ran;
        }
        outcome.body = body;
        let stopping = outcome.reason == "stopping" && outcome.ran == "no";
        (outcome, stopping)
    }

    fn request(&self, call: &Call) -> Result<Request<Body>, hyper::http::Error> {
        let CallerSettings {
            service,
            key,
            timeout,
            ..
        } = &self.inner.settings;
        let mut request: Builder = Request::builder()
            .method(&call.method)
            .uri(format!("/v1/svc/{service}{}", call.path))
            .header("request-timeout-ms", timeout.as_millis().to_string());
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        request.body(full(call.body.clone()))
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        let cache = self.inner.cache.lock();
        cache.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads a response to its end: number of bytes, and the start of the body.
async fn read(response: Response<Body>) -> Result<(usize, Vec<u8>), waxwing_http::BodyError> {
    let mut body = response.into_body();
    let mut bytes = 0;
    let mut kept = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        bytes += data.len();
        let room = KEPT_BYTES - kept.len();
        kept.extend_from_slice(&data[..data.len().min(room)]);
    }
    Ok((bytes, kept))
}
