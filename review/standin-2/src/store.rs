//! The platform's object store: revisions, lists in pages, watches, states that lag.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::datagrams::Datagrams;
use crate::http::{Conn, Message};

/// One change: an object that was written, or removed (`spec` is `None`).
#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    spec: Option<String>,
}

/// How the store answers.
#[derive(Clone)]
pub struct StoreTerms {
    /// Greatest number of items of one answer.
    pub page: usize,
    /// Time by which the state lags that calls with `allowStale` read.
    pub lag: Duration,
    /// The same for the further pages of a list. Another copy of the state may answer each call.
    pub lag_of_further_pages: Duration,
    /// The datagrams between machines, if they pass proxies.
    pub datagrams: Option<Datagrams>,
}

/// A call as the store has answered it.
#[derive(Clone, Debug)]
pub struct Call {
    pub viewer: usize,
    pub answered_at: Instant,
    pub kind: String,
    pub is_stale: bool,
    pub is_watch: bool,
    pub changes: usize,
}

struct State {
    log: Vec<Change>,
    revision: u64,
    calls: Vec<Call>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    terms: Arc<StoreTerms>,
}

impl Store {
    pub fn new(terms: StoreTerms) -> Self {
        let state = State {
            log: Vec::new(),
            revision: 100,
            calls: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            terms: Arc::new(terms),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Serves the store at a new port for one machine.
    pub fn serve(&self, viewer: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.read(false) {
                        if store.answer(&mut conn, &request, viewer).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(address)
    }

    /// Writes or removes an object. Returns the moment of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Option<String>) -> Instant {
        let mut state = self.lock();
        state.revision += 1;
        let at = Instant::now();
        let change = Change {
            at,
            revision: state.revision,
            kind: kind.into(),
            name: name.into(),
            spec,
        };
        state.log.push(change);
        at
    }

    /// Writes the entry of an upstream: all its fields but `seq`, without the closing bracket. An entry changes only when more
    /// than `seq` changes. Returns the moment of the acknowledgement.
    pub fn beat(&self, name: &str, fields: &str, seq: u64) -> Instant {
        let is_known = {
            let state = self.lock();
            let mut changes = state.log.iter().rev();
            let last = changes.find(|change| change.kind == "servers" && change.name == name);
            let spec = last.and_then(|change| change.spec.as_ref());
            spec.is_some_and(|spec| spec.starts_with(&format!("{fields},\"seq\":")))
        };
        if is_known {
            return Instant::now();
        }
        self.put("servers", name, Some(format!("{fields},\"seq\":{seq}}}")))
    }

    /// The calls that were answered since a moment.
    pub fn calls_since(&self, since: Instant) -> Vec<Call> {
        let state = self.lock();
        let calls = state.calls.iter().filter(|call| call.answered_at >= since);
        calls.cloned().collect()
    }

    fn answer(&self, conn: &mut Conn, request: &Message, viewer: usize) -> std::io::Result<()> {
        let uri = request.word(1).to_owned();
        let (path, query) = uri.split_once('?').unwrap_or((&uri, ""));
        let path = path.trim_start_matches("/api/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let json = [("Content-Type", "application/json")];
        match (request.word(0), name) {
            ("GET", "") => {
                let body = self.read(kind, query, viewer);
                conn.respond("200 OK", &json, body.as_bytes())
            }
            ("GET", name) => {
                let held = self.current(kind, name);
                match held {
                    Some(object) => conn.respond("200 OK", &json, object.as_bytes()),
                    None => conn.respond("404 Not Found", &json, b"{}"),
                }
            }
            ("POST", _) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = name_of(&text);
                if let Some(object) = self.current(kind, &name) {
                    return conn.respond("409 Conflict", &json, object.as_bytes());
                }
                self.put(kind, &name, Some(spec_of(&text)));
                let object = self.current(kind, &name).unwrap_or_default();
                conn.respond("201 Created", &json, object.as_bytes())
            }
            ("PUT", name) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.put(kind, name, Some(spec_of(&text)));
                let object = self.current(kind, name).unwrap_or_default();
                conn.respond("200 OK", &json, object.as_bytes())
            }
            ("DELETE", name) => {
                if self.current(kind, name).is_none() {
                    return conn.respond("404 Not Found", &json, b"{}");
                }
                self.put(kind, name, None);
                conn.respond("200 OK", &json, b"{}")
            }
            _ => conn.respond("404 Not Found", &json, b"{}"),
        }
    }

    fn current(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.lock();
        let mut changes = state.log.iter().rev();
        let last = changes.find(|change| change.kind == kind && change.name == name)?;
        last.spec.as_ref().map(|spec| object(last, spec))
    }

    fn read(&self, kind: &str, query: &str, viewer: usize) -> String {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let is_stale = value("allowStale").as_deref() == Some("1");
        let after = value("after").unwrap_or_default();
        let lag = match (is_stale, after.is_empty()) {
            (false, _) => Duration::ZERO,
            (true, true) => self.terms.lag,
            (true, false) => self.terms.lag_of_further_pages,
        };
        let watch = value("watch").and_then(|revision| revision.parse().ok());
        let wait = value("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let (body, changes) = match watch {
            Some(revision) => self.watch(kind, revision, Duration::from_millis(wait), lag),
            None => self.list(kind, &after, lag),
        };
        let call = Call {
            viewer,
            answered_at: Instant::now(),
            kind: kind.into(),
            is_stale,
            is_watch: watch.is_some(),
            changes,
        };
        self.lock().calls.push(call);
        match &self.terms.datagrams {
            Some(datagrams) => datagrams.rewrite(viewer, body),
            None => body,
        }
    }

    fn list(&self, kind: &str, after: &str, lag: Duration) -> (String, usize) {
        let state = self.lock();
        let now = Instant::now();
        let mut at = 100;
        let mut objects = BTreeMap::new();
        for change in state.log.iter().filter(|change| change.at + lag <= now) {
            at = change.revision;
            if change.kind == kind {
                match &change.spec {
                    Some(spec) => objects.insert(change.name.clone(), object(change, spec)),
                    None => objects.remove(&change.name),
                };
            }
        }
        let rest: Vec<String> = objects
            .into_iter()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(_, object)| object)
            .collect();
        let items = &rest[..rest.len().min(self.terms.page)];
        let more = rest.len() > items.len();
        let body = format!(
            r#"{{"items":[{}],"more":{more},"at":{at}}}"#,
            items.join(",")
        );
        (body, items.len())
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration, lag: Duration) -> (String, usize) {
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.lock();
                let now = Instant::now();
                let visible = state.log.iter().filter(|change| change.at + lag <= now);
                let at = visible
                    .clone()
                    .map(|change| change.revision)
                    .max()
                    .unwrap_or(100);
                let events: Vec<String> = visible
                    .filter(|change| change.kind == kind && change.revision > from)
                    .map(event)
                    .collect();
                if !events.is_empty() || now >= until {
                    let at = at.max(from);
                    let body = format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","));
                    return (body, events.len());
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

fn metadata(change: &Change) -> String {
    format!(
        r#"{{"name":"{}","revision":{},"createdAt":1,"finalizers":[],"deletionPending":false}}"#,
        change.name, change.revision
    )
}

fn object(change: &Change, spec: &str) -> String {
    format!(
        r#"{{"metadata":{},"spec":{spec},"status":null}}"#,
        metadata(change)
    )
}

fn event(change: &Change) -> String {
    let spec = change.spec.as_deref().unwrap_or("null");
    let deleted = change.spec.is_none();
    format!(
        r#"{{"object":{},"deleted":{deleted}}}"#,
        object(change, spec)
    )
}

/// The name in the metadata of an object that a machine writes.
fn name_of(text: &str) -> String {
    let rest = text.split_once(r#""name":""#).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// The spec of an object that a machine writes: the value of its member `spec`, by its brackets.
fn spec_of(text: &str) -> String {
    let Some((_, rest)) = text.split_once(r#""spec":"#) else {
        return "null".into();
    };
    let mut depth = 0;
    for (i, byte) in rest.bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => {
                depth -= 1;
                if depth <= 0 {
                    return rest[..=i].to_owned();
                }
            }
            _ => {}
        }
    }
    "null".into()
}
