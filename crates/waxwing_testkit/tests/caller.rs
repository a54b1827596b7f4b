//! The caller double against entry VMs that answer look-ups and requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use waxwing_http::{Body, Handler, Server, ServerLimits, json};
use waxwing_testkit::{Call, Caller, CallerSettings, Plan, run_plan};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[derive(Default)]
struct Entry {
    vms: Mutex<Vec<SocketAddr>>,
    lifetime_ms: u64,
    lookups: AtomicU32,
    requests: AtomicU32,
    reject: bool,
}

impl Handler for Entry {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = Response<Body>> + Send>> {
        Box::pin(async move {
            if request.uri().path() == "/v1/route" {
                self.lookups.fetch_add(1, Ordering::Relaxed);
                let vms = self.vms.lock().unwrap();
                let vms: Vec<_> = vms
                    .iter()
                    .map(|a| serde_json::json!({"id": "x", "address": a}))
                    .collect();
                let body = serde_json::json!({"vms": vms, "lifetime_ms": self.lifetime_ms});
                return json(StatusCode::OK, body.to_string());
            }
            self.requests.fetch_add(1, Ordering::Relaxed);
            if self.reject {
                let body = r#"{"reason":"rate_limited","ran":"no"}"#.to_owned();
                return json(StatusCode::TOO_MANY_REQUESTS, body);
            }
            json(StatusCode::OK, "{}".into())
        })
    }
}

async fn start(executor: &Arc<Executor<'static>>, entry: &Arc<Entry>) -> SocketAddr {
    let handler = Arc::clone(entry) as Arc<dyn Handler>;
    let server = Server::start(executor, ANY, ServerLimits::default(), handler);
    server.await.unwrap().address()
}

fn caller(executor: &Arc<Executor<'static>>, entries: Vec<SocketAddr>) -> Caller {
    let settings = CallerSettings {
        entries,
        vm: None,
        service: "status".into(),
        client: Ipv4Addr::LOCALHOST.into(),
        key: Some("id.secret".into()),
        timeout: Duration::from_secs(5),
    };
    Caller::new(executor, settings)
}

fn plan(count: u64) -> Plan {
    let call = Call {
        method: Method::GET,
        path: "/a".into(),
        idempotency_key: None,
        body: Vec::new(),
    };
    Plan {
        call,
        own_keys: false,
        count,
        rate: 0,
    }
}

/// Guards against a caller that stops at the first dead VM, or looks up for every request.
#[test]
fn falls_back_to_the_next_vm_and_caches_the_look_up() {
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let entry = Arc::new(Entry {
            lifetime_ms: 60_000,
            ..Entry::default()
        });
        let live = start(&executor, &entry).await;
        let dead = std::net::TcpListener::bind(ANY)
            .unwrap()
            .local_addr()
            .unwrap();
        *entry.vms.lock().unwrap() = vec![live, dead];
        let caller = caller(&executor, vec![dead, live]);
        let account = run_plan(&executor, &caller, &plan(3), |_| ())
            .await
            .summary();
        assert_eq!(
            (account.statuses.get(&200), account.fallbacks),
            (Some(&3), 0)
        );
        assert_eq!(entry.lookups.load(Ordering::Relaxed), 1);
        *entry.vms.lock().unwrap() = vec![dead, live];
        let caller = self::caller(&executor, vec![live]);
        let account = run_plan(&executor, &caller, &plan(1), |_| ())
            .await
            .summary();
        assert_eq!(
            (account.statuses.get(&200), account.fallbacks),
            (Some(&1), 1)
        );
    }));
}

/// Guards against an account that loses rejections or hides their reason.
#[test]
fn account_names_rejections_by_reason() {
    let executor = Arc::new(Executor::new());
    block_on(executor.run(async {
        let entry = Arc::new(Entry {
            reject: true,
            ..Entry::default()
        });
        let address = start(&executor, &entry).await;
        *entry.vms.lock().unwrap() = vec![address];
        let caller = caller(&executor, vec![address]);
        let plan = Plan {
            rate: 200,
            ..plan(5)
        };
        let account = run_plan(&executor, &caller, &plan, |_| ()).await.summary();
        assert_eq!((account.sent, account.lost), (5, 0));
        assert_eq!(account.statuses.get(&429), Some(&5));
        assert_eq!(account.reasons.get("rate_limited"), Some(&5));
        assert_eq!(entry.requests.load(Ordering::Relaxed), 5);
    }));
}
