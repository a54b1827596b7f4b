//! Fingerprints of requests that crash the targets that run them.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use waxwing_types::{Millis, TargetId};

use crate::{Fingerprint, IncomingRequest};

/// Crashes after which a request is quarantined.
const CRASHES: u32 = 2;
/// Time for which a fingerprint stays quarantined, and for which crashes are remembered.
const LIFETIME: Millis = Millis::from_secs(600);
/// Time for which a fingerprint learned from a peer is passed on. A VM that saw the crashes passes
/// it on for the whole lifetime; if all did, VMs that start would hand it around forever.
const RELAY_TERM: Millis = Millis::from_secs(60);
/// Greatest number of fingerprints held. The oldest give way.
const CAPACITY: usize = 10_000;

#[derive(Debug, Clone)]
struct Entry {
    /// Time of the quarantine, or of the last crash before it.
    since: Millis,
    crashes: u32,
    /// Whether the crashes were seen here.
    own: bool,
    /// Target that crashed last.
    target: Option<TargetId>,
}

/// The quarantined fingerprints of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Counts a crash of a target under an attempt that was sent at `sent`. Returns whether the
    /// fingerprint is quarantined now.
    ///
    /// One crash breaks all copies of a popular request that the target runs, so that attempts
    /// that were sent to the same target before its last crash count once.
    pub fn record_crash(
        &mut self,
        now: Millis,
        print: Fingerprint,
        target: &TargetId,
        sent: Millis,
    ) -> bool {
        self.expire(now);
        let entry = self.entries.entry(print).or_insert(Entry {
            since: now,
            crashes: 0,
            own: true,
            target: None,
        });
        if now.since(entry.since) >= LIFETIME {
            entry.crashes = 0;
        }
        let same = entry.target.as_ref() == Some(target) && sent < entry.since;
        if !same || entry.crashes == 0 {
            entry.own = true;
            entry.crashes += 1;
            entry.since = now;
            entry.target = Some(target.clone());
        }
        entry.crashes >= CRASHES
    }

    /// Adopts fingerprints that a peer has in quarantine. One that is known keeps its own time, so
    /// that two VMs cannot prolong it for each other.
    pub fn merge_peer(&mut self, now: Millis, prints: &[Fingerprint]) {
        self.expire(now);
        for &print in prints {
            let entry = self.entries.entry(print).or_insert(Entry {
                since: now,
                crashes: CRASHES,
                own: false,
                target: None,
            });
            if entry.crashes < CRASHES {
                entry.crashes = CRASHES;
                entry.since = now;
                entry.own = false;
            }
        }
        while self.entries.len() > CAPACITY {
            self.drop_oldest();
        }
    }

    /// Forgets what is older than two lifetimes. In the second one a fingerprint is no longer
    /// quarantined, but it is not adopted from peers again.
    fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, e| now.since(e.since) < LIFETIME + LIFETIME);
        if self.entries.len() >= CAPACITY {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.since);
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.entries.remove(&print);
        }
    }
}

impl Quarantine {
    /// Whether a request with this fingerprint is rejected.
    pub fn is_quarantined(&self, now: Millis, print: Fingerprint) -> bool {
        self.entries.get(&print).is_some_and(|e| e.is_active(now))
    }

    /// Whether nothing is held, so that no fingerprint needs to be computed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// At most `max` fingerprints to tell a peer, newest first.
    pub fn fingerprints_to_share(&self, now: Millis, max: usize) -> Vec<Fingerprint> {
        let mut found: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| e.is_active(now) && (e.own || now.since(e.since) < RELAY_TERM))
            .map(|(print, e)| (e.since, *print))
            .collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        found.truncate(max);
        found.into_iter().map(|(_, print)| print).collect()
    }
}

impl Entry {
    fn is_active(&self, now: Millis) -> bool {
        self.crashes >= CRASHES && now.since(self.since) < LIFETIME
    }
}

impl Fingerprint {
    /// The fingerprint of a request of a workspace: service, method, path, and the idempotency key
    /// or else the hash of the start of the body.
    pub fn of(workspace: &str, arrival: &IncomingRequest) -> Self {
        let body = arrival.body_prefix_hash.to_be_bytes();
        let (tag, last) = match &arrival.idempotency_key {
            Some(key) => (1, key.as_bytes()),
            None => (0, body.as_slice()),
        };
        let mut hash = Sha256::new_with_prefix([tag]);
        for part in [
            workspace.as_bytes(),
            arrival.service.as_str().as_bytes(),
            arrival.method.as_bytes(),
            arrival.path.as_bytes(),
            last,
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest: [u8; 32] = hash.finalize().into();
        let mut head = [0; 8];
        head.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(head))
    }
}
