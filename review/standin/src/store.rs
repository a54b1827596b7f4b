//! The platform's store: objects, revisions, watches, and reads that may be some seconds old.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::Json;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Change {
    revision: u64,
    at: Instant,
    kind: String,
    name: String,
    /// `None`: the object was removed.
    spec: Option<Json>,
}

/// A call of a daemon that read objects.
struct Read {
    /// Which of the VMs called.
    vm: usize,
    /// Whether the answer had to hold the latest state.
    is_latest: bool,
    waits: bool,
}

struct State {
    revision: u64,
    changes: Vec<Change>,
    reads: Vec<Read>,
}

/// Clones share their state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Age of what a call with `allowStale` gets.
    stale_age: Duration,
    /// Most objects of one page of a list.
    page: usize,
}

impl Store {
    pub fn new(stale_age: Duration, page: usize) -> Self {
        let state = State {
            revision: 100,
            changes: Vec::new(),
            reads: Vec::new(),
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            stale_age,
            page,
        }
    }

    /// Serves one VM on an address of its own, so that the record can tell which VM called.
    pub fn serve(&self, vm: usize, address: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(address, move |request| store.answer(vm, &request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Writes an object, as the operator or an upstream does. Returns when the store acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> Instant {
        self.change(kind, name, Some(spec));
        Instant::now()
    }

    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        self.change(kind, name, None);
        Instant::now()
    }

    /// The VM that last waited for changes of the latest state of the upstreams, among those given.
    pub fn latest_reader(&self, vms: &[usize]) -> Option<usize> {
        let state = self.lock();
        let mut reads = state.reads.iter().rev();
        reads
            .find(|read| read.is_latest && read.waits && vms.contains(&read.vm))
            .map(|read| read.vm)
    }

    fn change(&self, kind: &str, name: &str, spec: Option<Json>) -> u64 {
        let mut state = self.lock();
        let current = state.objects(kind, None).remove(name).map(|(_, spec)| spec);
        if current == spec {
            // A write that changes nothing raises no revision.
            return state.revision;
        }
        state.revision += 1;
        let change = Change {
            revision: state.revision,
            at: Instant::now(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
        };
        state.changes.push(change);
        self.state.1.notify_all();
        state.revision
    }

    fn answer(&self, vm: usize, request: &Request) -> Response {
        let path = request
            .path()
            .strip_prefix("/api/objects/")
            .unwrap_or_default()
            .to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        let response = match request.method.as_str() {
            "GET" => self.read(vm, kind, name, request),
            "POST" | "PUT" => self.write(kind, name, request),
            "DELETE" => {
                let known = self.lock().objects(kind, None).contains_key(name);
                if known {
                    self.change(kind, name, None);
                }
                Response::new(if known { 200 } else { 404 }, "{}")
            }
            _ => Response::new(404, "{}"),
        };
        thread::sleep(ANSWER_TIME);
        response.with("Content-Type", "application/json")
    }

    fn write(&self, kind: &str, name: &str, request: &Request) -> Response {
        let object = std::str::from_utf8(&request.body)
            .ok()
            .and_then(Json::parse);
        let Some(object) = object else {
            return Response::new(400, "{}");
        };
        let stated = object
            .get("metadata")
            .and_then(|m| m.get("name"))
            .and_then(Json::as_text);
        let is_new = request.method == "POST";
        let name = if is_new {
            stated.unwrap_or_default()
        } else {
            name
        };
        let known = self.lock().objects(kind, None).contains_key(name);
        if known == is_new {
            return Response::new(if is_new { 409 } else { 404 }, "{}");
        }
        let spec = object.get("spec").cloned().unwrap_or(Json::Null);
        let revision = self.change(kind, name, Some(spec.clone()));
        Response::new(200, object_json(name, revision, &spec).to_string())
    }

    fn read(&self, vm: usize, kind: &str, name: &str, request: &Request) -> Response {
        let is_latest = request.query("allowStale").is_none();
        let age = if is_latest {
            Duration::ZERO
        } else {
            self.stale_age
        };
        let number = |name| {
            request
                .query(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let waits = wait > Duration::ZERO;
        if kind == "servers" {
            self.lock().reads.push(Read {
                vm,
                is_latest,
                waits,
            });
        }
        let Some(after) = number("watch") else {
            return self.list(kind, name, age, request.query("after").unwrap_or_default());
        };
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            let (revision, events) = state.events(kind, after, now.checked_sub(age));
            if !events.is_empty() || now >= end {
                let at = Json::number(revision.max(after));
                let answer = Json::object([("events", Json::List(events)), ("at", at)]);
                return Response::new(200, answer.to_string());
            }
            // A state that is older becomes newer also without a change.
            let pause = (end - now).min(Duration::from_millis(20));
            state = self.state.1.wait_timeout(state, pause).unwrap().0;
        }
    }

    fn list(&self, kind: &str, name: &str, age: Duration, after: &str) -> Response {
        let state = self.lock();
        let until = Instant::now().checked_sub(age);
        let objects = state.objects(kind, until);
        if !name.is_empty() {
            return match objects.get(name) {
                Some((revision, spec)) => {
                    Response::new(200, object_json(name, *revision, spec).to_string())
                }
                None => Response::new(404, "{}"),
            };
        }
        let rest: Vec<_> = objects
            .iter()
            .filter(|(name, _)| name.as_str() > after)
            .collect();
        let items = rest.iter().take(self.page);
        let items = items.map(|(name, (revision, spec))| object_json(name, *revision, spec));
        let answer = Json::object([
            ("items", Json::List(items.collect())),
            ("more", Json::Bool(rest.len() > self.page)),
            ("at", Json::number(state.revision_at(until))),
        ]);
        Response::new(200, answer.to_string())
    }
}

impl State {
    fn seen(&self, until: Option<Instant>) -> impl Iterator<Item = &Change> {
        self.changes
            .iter()
            .filter(move |change| until.is_none_or(|until| change.at <= until))
    }

    fn revision_at(&self, until: Option<Instant>) -> u64 {
        self.seen(until)
            .last()
            .map_or(100, |change| change.revision)
    }

    /// The objects of a kind as they were at a time, with the revisions of their last changes.
    fn objects(&self, kind: &str, until: Option<Instant>) -> BTreeMap<String, (u64, Json)> {
        let mut objects = BTreeMap::new();
        for change in self.seen(until).filter(|change| change.kind == kind) {
            match &change.spec {
                Some(spec) => {
                    objects.insert(change.name.clone(), (change.revision, spec.clone()));
                }
                None => {
                    objects.remove(&change.name);
                }
            }
        }
        objects
    }

    fn events(&self, kind: &str, after: u64, until: Option<Instant>) -> (u64, Vec<Json>) {
        let changes = self
            .seen(until)
            .filter(|c| c.kind == kind && c.revision > after);
        let events = changes.map(|change| {
            let spec = change.spec.clone().unwrap_or(Json::Null);
            Json::object([
                ("object", object_json(&change.name, change.revision, &spec)),
                ("deleted", Json::Bool(change.spec.is_none())),
            ])
        });
        (self.revision_at(until), events.collect())
    }
}

fn object_json(name: &str, revision: u64, spec: &Json) -> Json {
    let metadata = Json::object([
        ("name", Json::text(name)),
        ("revision", Json::number(revision)),
        ("createdAt", Json::number(1)),
        ("finalizers", Json::List(Vec::new())),
        ("deletionPending", Json::Bool(false)),
    ]);
    Json::object([
        ("metadata", metadata),
        ("spec", spec.clone()),
        ("status", Json::Null),
    ])
}
