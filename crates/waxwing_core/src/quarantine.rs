//! Quarantine of requests that crash the targets that run them. VMs refuse quarantined requests for
//! a limited time. Copies of a request are recognized by their fingerprint, a hash of the request.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use waxwing_types::{Millis, TargetId};

use crate::{Fingerprint, IncomingRequest};

/// Number of crashes after which a request is quarantined.
const CRASH_THRESHOLD: u32 = 2;
/// Time for which a fingerprint stays quarantined. A crash also counts towards
/// [`CRASH_THRESHOLD`] for this time.
const QUARANTINE_DURATION: Millis = Millis::from_secs(600);
/// Time for which a fingerprint learned from a peer is shared with other peers. Only a VM that saw
/// a crash itself shares the fingerprint during the whole quarantine. If all VMs did, a newly
/// started VM would learn the fingerprint from an older VM and pass it on to the next new VM: the
/// quarantine would never end.
const RELAY_PERIOD: Millis = Millis::from_secs(60);
/// Largest number of stored fingerprints. If there are more, the oldest are dropped.
const MAX_FINGERPRINTS: usize = 10_000;

/// What is known about the crashes of one fingerprint.
#[derive(Debug, Clone)]
struct Entry {
    /// Time of the last counted crash, or time when the fingerprint was learned from a peer. The
    /// quarantine lasts [`QUARANTINE_DURATION`] from then.
    since: Millis,
    /// Counted crashes. Set to [`CRASH_THRESHOLD`] if the fingerprint was learned from a peer.
    crashes: u32,
    /// Whether this VM saw a crash itself, instead of learning the fingerprint from a peer.
    seen_locally: bool,
    /// Target that crashed last.
    last_target: Option<TargetId>,
}

/// The quarantined fingerprints of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Counts a crash of `target` during an attempt that was sent at `sent_at`. Returns whether the
    /// fingerprint has reached the number of crashes for a quarantine.
    ///
    /// One crash breaks all copies of the request that the target is running. Attempts that were
    /// sent to the same target before its last crash therefore do not count again.
    pub fn record_crash(
        &mut self,
        now: Millis,
        fingerprint: Fingerprint,
        target: &TargetId,
        sent_at: Millis,
    ) -> bool {
        self.expire(now);
        let entry = self.entries.entry(fingerprint).or_insert(Entry {
            since: now,
            crashes: 0,
            seen_locally: true,
            last_target: None,
        });
        if now.since(entry.since) >= QUARANTINE_DURATION {
            entry.crashes = 0;
        }
        let already_counted = entry.last_target.as_ref() == Some(target) && sent_at < entry.since;
        if !already_counted || entry.crashes == 0 {
            entry.seen_locally = true;
            entry.crashes += 1;
            entry.since = now;
            entry.last_target = Some(target.clone());
        }
        entry.crashes >= CRASH_THRESHOLD
    }

    /// Records that a target has answered a request, which therefore does not crash targets.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Adds fingerprints that a peer has quarantined. A fingerprint that is already quarantined
    /// keeps its start time. Otherwise two VMs could prolong the quarantine for each other.
    pub fn merge_peer(&mut self, now: Millis, fingerprints: &[Fingerprint]) {
        self.expire(now);
        for &fingerprint in fingerprints {
            let entry = self.entries.entry(fingerprint).or_insert(Entry {
                since: now,
                crashes: CRASH_THRESHOLD,
                seen_locally: false,
                last_target: None,
            });
            if entry.crashes < CRASH_THRESHOLD {
                entry.crashes = CRASH_THRESHOLD;
                entry.since = now;
                entry.seen_locally = false;
            }
        }
        while self.entries.len() > MAX_FINGERPRINTS {
            self.drop_oldest();
        }
    }

    /// Drops entries that are older than twice the quarantine duration. In the second half an entry
    /// is no longer quarantined, but keeps the fingerprint from being learned from peers again.
    /// Also drops the oldest entry if there is no room for another entry.
    fn expire(&mut self, now: Millis) {
        self.entries
            .retain(|_, e| now.since(e.since) < QUARANTINE_DURATION + QUARANTINE_DURATION);
        if self.entries.len() >= MAX_FINGERPRINTS {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.since);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
        }
    }
}

impl Quarantine {
    /// Whether requests with this fingerprint are refused.
    pub fn is_quarantined(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|e| e.is_active(now))
    }

    /// Whether there are no entries, so that there is no need for a fingerprint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns at most `limit` quarantined fingerprints to send to a peer, newest first.
    pub fn fingerprints_to_share(&self, now: Millis, limit: usize) -> Vec<Fingerprint> {
        let mut shared: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, e)| {
                e.is_active(now) && (e.seen_locally || now.since(e.since) < RELAY_PERIOD)
            })
            .map(|(fingerprint, e)| (e.since, *fingerprint))
            .collect();
        shared.sort_unstable_by(|a, b| b.cmp(a));
        shared.truncate(limit);
        shared
            .into_iter()
            .map(|(_, fingerprint)| fingerprint)
            .collect()
    }
}

impl Entry {
    /// Whether the fingerprint is quarantined at this time.
    fn is_active(&self, now: Millis) -> bool {
        self.crashes >= CRASH_THRESHOLD && now.since(self.since) < QUARANTINE_DURATION
    }
}

/// Computes the fingerprint of a request whose body may not have arrived yet.
#[derive(Clone, Debug)]
pub struct FingerprintHasher(Sha256);

impl FingerprintHasher {
    /// Starts with workspace, service, method, and path with query of a request. The idempotency key is no part of it: callers
    /// may choose another one for each copy.
    pub fn new(workspace: &str, request: &IncomingRequest) -> Self {
        let mut hash = Sha256::new();
        for part in [
            workspace.as_bytes(),
            request.service.as_str().as_bytes(),
            request.method.as_bytes(),
            request.path.as_bytes(),
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash)
    }

    /// The fingerprint of the request with a body that has this hash.
    pub fn finish(mut self, body_hash: u64) -> Fingerprint {
        self.0.update(body_hash.to_be_bytes());
        let digest: [u8; 32] = self.0.finalize().into();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Fingerprint(u64::from_be_bytes(prefix))
    }
}
