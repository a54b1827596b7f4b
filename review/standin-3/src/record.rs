//! What was sent, answered and run, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What became of one request of a client.
pub struct Sent {
    pub id: String,
    /// Which client, and which daemon it was sent to.
    pub client: usize,
    pub daemon: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// Status, or why there is no answer.
    pub end: String,
}

/// A request that an upstream ran.
pub struct Run {
    pub id: String,
    pub upstream: String,
    pub tenant: String,
    pub at_ms: u64,
}

pub struct Record {
    start: Instant,
    pub notes: Mutex<Vec<String>>,
    pub sent: Mutex<Vec<Sent>>,
    pub runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            notes: Mutex::default(),
            sent: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line of what the script did or found.
    pub fn note(&self, text: impl Into<String>) {
        let line = format!("{:6} ms  {}", self.now(), text.into());
        println!("{line}");
        self.notes.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let Ok(mut file) = File::create(path) else {
            eprintln!("cannot write {}", path.display());
            return;
        };
        let mut text = String::from("what was done and found\n");
        for note in self.notes.lock().unwrap().iter() {
            text += &format!("{note}\n");
        }
        text += "\nrequests of clients: sent and ended in ms, client, daemon, id, end\n";
        let mut sent: Vec<_> = self.sent.lock().unwrap().drain(..).collect();
        sent.sort_by_key(|s| s.sent_ms);
        for s in sent {
            text += &format!("{} {} {} {} {} {}\n", s.sent_ms, s.ended_ms, s.client, s.daemon, s.id, s.end);
        }
        text += "\nrequests that upstreams ran: ms, upstream, tenant, id\n";
        let mut runs: Vec<_> = self.runs.lock().unwrap().drain(..).collect();
        runs.sort_by_key(|r| r.at_ms);
        for r in runs {
            text += &format!("{} {} {} {}\n", r.at_ms, r.upstream, r.tenant, r.id);
        }
        let _ = file.write_all(text.as_bytes());
    }
}
