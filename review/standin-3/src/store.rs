//! The platform's store: objects with revisions, lists and watches, one listener for each daemon.

use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};

struct Event {
    revision: u64,
    name: String,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<Event>,
    /// Daemons that are cut off from the store.
    cut: Vec<bool>,
    /// Addresses by which each daemon knows the peer addresses of the others.
    peers: Vec<Vec<(String, String)>>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createdAt\":0,\"finalizers\":[],\
         \"deletionPending\":false}},\"spec\":{spec},\"status\":{{}}}}"
    )
}

impl Store {
    /// A store for daemons with an index below `daemons`.
    pub fn new(daemons: usize) -> Self {
        let state = State {
            revision: 1,
            cut: vec![false; daemons],
            peers: vec![Vec::new(); daemons],
            ..State::default()
        };
        Self { shared: Arc::new((Mutex::new(state), Condvar::new())) }
    }

    /// Serves a daemon at an address of its own, so that it can be cut off alone.
    pub fn serve(&self, daemon: usize) -> String {
        let listener = TcpListener::bind((crate::daemon::host().as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.connection(stream, daemon));
            }
        });
        address
    }

    /// The address by which a daemon knows another one's address for datagrams.
    pub fn set_peer(&self, daemon: usize, address: &str, known_as: &str) {
        self.shared.0.lock().unwrap().peers[daemon].push((address.into(), known_as.into()));
    }

    /// Cuts a daemon off, or ends that. Calls of a daemon that is cut off get no answer.
    pub fn set_cut(&self, daemon: usize, cut: bool) {
        self.shared.0.lock().unwrap().cut[daemon] = cut;
        self.shared.1.notify_all();
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = state.objects.get(&key) {
            if known == spec {
                return *revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        state.events.push(Event {
            revision,
            name: name.to_owned(),
            kind: kind.to_owned(),
            object: object(name, revision, spec),
            deleted: false,
        });
        self.shared.1.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event {
            revision,
            name: name.to_owned(),
            kind: kind.to_owned(),
            object: object(name, revision, &spec),
            deleted: true,
        });
        self.shared.1.notify_all();
        true
    }

    fn connection(&self, stream: TcpStream, daemon: usize) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.read() {
            let Some((status, body)) = self.answer(&request, daemon) else {
                // Cut off: this connection returns nothing further.
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.write(&text).is_err() {
                return;
            }
        }
    }

    /// Waits while the daemon is cut off. Returns whether it was.
    fn wait_while_cut(&self, daemon: usize) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        let was_cut = state.cut[daemon];
        while state.cut[daemon] {
            state = self.shared.1.wait(state).unwrap();
        }
        was_cut
    }

    fn answer(&self, request: &Message, daemon: usize) -> Option<(u16, String)> {
        if self.wait_while_cut(daemon) {
            return None;
        }
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.strip_prefix("/api/objects/").unwrap_or("");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let answer = match request.word(0) {
            "GET" if name.is_empty() => self.read(kind, query, daemon),
            "POST" | "PUT" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let stated = between(&body, "\"name\":\"", "\"").unwrap_or_default();
                let spec = body.split_once("\"spec\":").map(|(_, rest)| rest.trim_end());
                let spec = spec.and_then(|rest| rest.strip_suffix('}')).unwrap_or("{}").to_owned();
                let creates = request.word(0) == "POST";
                let name = if creates { stated } else { name.to_owned() };
                let key = (kind.to_owned(), name.clone());
                let exists = self.shared.0.lock().unwrap().objects.contains_key(&key);
                match (creates, exists) {
                    (true, true) => (409, "{}".to_owned()),
                    (false, false) => (404, "{}".to_owned()),
                    _ => {
                        let revision = self.put(kind, &name, &spec);
                        (200, object(&name, revision, &spec))
                    }
                }
            }
            "DELETE" if self.remove(kind, name) => (200, "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        };
        if self.shared.0.lock().unwrap().cut[daemon] {
            self.wait_while_cut(daemon);
            return None;
        }
        Some(answer)
    }

    fn read(&self, kind: &str, query: &str, daemon: usize) -> (u16, String) {
        let value = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == wanted).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let mut state = self.shared.0.lock().unwrap();
        let Some(after) = value("watch") else {
            let mut objects = BTreeMap::new();
            for event in state.events.iter().filter(|event| event.kind == kind) {
                if event.deleted {
                    objects.remove(&event.name);
                } else {
                    objects.insert(&event.name, event.object.as_str());
                }
            }
            let items: Vec<&str> = objects.into_values().collect();
            let at = state.revision;
            let text = format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(","));
            return (200, replace_peers(&state, daemon, text));
        };
        let end = Instant::now() + Duration::from_millis(value("waitMs").unwrap_or(0));
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| format!("{{\"object\":{},\"deleted\":{}}}", event.object, event.deleted))
                .collect();
            let at = state.revision.max(after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || state.cut[daemon] {
                let text = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return (200, replace_peers(&state, daemon, text));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn replace_peers(state: &State, daemon: usize, mut text: String) -> String {
    for (address, known_as) in &state.peers[daemon] {
        let peer = |address: &str| format!("\"peer\":\"{address}\"");
        text = text.replace(&peer(address), &peer(known_as));
    }
    text
}

pub fn between(text: &str, start: &str, end: &str) -> Option<String> {
    let (_, rest) = text.split_once(start)?;
    Some(rest.split_once(end)?.0.to_owned())
}
