//! Two or more nodes over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use async_io::block_on;
use futures_util::future::join_all;
use waxwing_core::{
    BorrowReply, BorrowRequest, Fingerprint, Grant, LimitKey, LimitRequest, PullReply, PullRequest,
    RenewReply, RenewRequest, ShardEpoch, ShardId, VersionedRecord,
};
use waxwing_peer::{PeerError, PeerHandler, PeerNode, PeerSettings, Peers};
use waxwing_types::{Incarnation, Micros, Millis, Revision};

const SECOND: Millis = Millis(1000);

/// Answers with fixed replies; a pull brings a record of `bytes` bytes after `pause`.
#[derive(Default)]
struct Fixed {
    bytes: usize,
    pause: AtomicU64,
}

impl PeerHandler for Fixed {
    fn on_pull(&self, request: PullRequest) -> PullReply {
        std::thread::sleep(Duration::from_millis(self.pause.load(Ordering::Relaxed)));
        reply(&request, self.bytes)
    }

    fn on_borrow(&self, request: BorrowRequest) -> BorrowReply {
        let grants = request.limits.iter().map(grant);
        BorrowReply {
            grants: grants.collect(),
        }
    }

    fn on_renew(&self, request: RenewRequest) -> RenewReply {
        RenewReply {
            acked: request.shards,
        }
    }
}

fn reply(request: &PullRequest, bytes: usize) -> PullReply {
    PullReply {
        from: "b".into(),
        incarnation: Incarnation(2),
        revision: Revision(request.after.0 + 1),
        age: Millis(5),
        records: vec![VersionedRecord {
            path: "config/workspace/a".into(),
            version: Revision(9),
            value: vec![7; bytes],
        }],
        more: true,
        quarantined: vec![Fingerprint(3), Fingerprint(4)],
        stopping: request.stopping,
    }
}

fn grant(ask: &LimitRequest) -> Grant {
    Grant {
        key: ask.key.clone(),
        seq: ask.current_grant_seq + 1,
        rate: ask.rate,
        burst: ask.burst,
        tokens: ask.tokens,
        term: Millis(3000),
    }
}

fn pull_request() -> PullRequest {
    PullRequest {
        from: "a".into(),
        incarnation: Incarnation(1),
        domain: "d".into(),
        after: Revision(8),
        stopping: true,
    }
}

fn borrow_request(asks: usize) -> BorrowRequest {
    let keys = [
        LimitKey::Workspace("w".into()),
        LimitKey::Shift("s".into()),
        LimitKey::Link {
            from: "r0".into(),
            to: "r1".into(),
        },
        LimitKey::Region("r".into()),
    ];
    let ask = |key: &LimitKey| LimitRequest {
        key: key.clone(),
        rate: Micros(1),
        burst: Micros(2),
        tokens: Micros(3),
        current_grant_seq: 4,
    };
    BorrowRequest {
        from: "a".into(),
        incarnation: Incarnation(1),
        domain: "d".into(),
        limits: keys.iter().cycle().take(asks).map(ask).collect(),
    }
}

fn start_at(address: SocketAddr, settings: PeerSettings, handler: Fixed) -> PeerNode {
    PeerNode::start(address, settings, Arc::new(handler)).expect("the address is free")
}

fn start(settings: PeerSettings, handler: Fixed) -> PeerNode {
    start_at(([127, 0, 0, 1], 0).into(), settings, handler)
}

fn pair() -> (PeerNode, PeerNode) {
    let settings = PeerSettings::default();
    (
        start(settings, Fixed::default()),
        start(settings, Fixed::default()),
    )
}

fn pull(from: &PeerNode, to: SocketAddr) -> Result<PullReply, PeerError> {
    block_on(from.pull(to, pull_request(), SECOND))
}

/// Fails if a field is lost or mixed up on the way.
#[test]
fn calls_bring_every_field() {
    let (a, b) = pair();
    let to = b.local_addr();
    let request = borrow_request(4);
    let shard = ShardEpoch {
        shard: ShardId(7),
        epoch: 12,
    };
    let renew = RenewRequest {
        from: "a".into(),
        incarnation: Incarnation(1),
        shards: vec![shard],
    };

    let pulled = pull(&a, to);
    let borrowed = block_on(a.borrow(to, request.clone(), SECOND));
    let renewed = block_on(a.renew(to, renew, SECOND));

    assert_eq!(pulled, Ok(reply(&pull_request(), 0)));
    let grants = request.limits.iter().map(grant).collect();
    assert_eq!(borrowed, Ok(BorrowReply { grants }));
    assert_eq!(renewed, Ok(RenewReply { acked: vec![shard] }));
}

/// Fails if concurrent calls open a connection each, or answer each other.
#[test]
fn concurrent_calls_share_a_connection() {
    let (a, b) = pair();
    let call = |after: u64| {
        let mut request = pull_request();
        request.after = Revision(after);
        a.pull(b.local_addr(), request, SECOND)
    };

    let replies = block_on(join_all((0..100).map(call)));

    for (after, reply) in (0..).zip(replies) {
        assert_eq!(reply.map(|r| r.revision.0), Ok(after + 1));
    }
    assert_eq!(a.counts().opened(), 1);
}

/// Fails if a call outlives its deadline, or if a connection whose other end is gone is kept.
#[test]
fn a_silent_peer_costs_the_deadline_and_the_connection() {
    let (a, _) = pair();
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = silent.local_addr().expect("an address");
    let started = Instant::now();

    let first = block_on(a.pull(to, pull_request(), Millis(200)));
    let second = block_on(a.pull(to, pull_request(), Millis(200)));

    assert_eq!(first, Err(PeerError::TimedOut));
    assert_eq!(second, Err(PeerError::TimedOut));
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(a.counts().opened(), 2);
}

/// Fails if a call that is late keeps others from being answered once the peer goes on.
#[test]
fn a_slow_peer_answers_later_calls() {
    let a = pair().0;
    let slow = Arc::new(Fixed::default());
    slow.pause.store(400, Ordering::Relaxed);
    let address = ([127, 0, 0, 1], 0).into();
    let b = PeerNode::start(address, PeerSettings::default(), slow.clone()).expect("a port");

    let late = block_on(a.pull(b.local_addr(), pull_request(), Millis(100)));
    slow.pause.store(0, Ordering::Relaxed);

    assert_eq!(late, Err(PeerError::TimedOut));
    assert!(pull(&a, b.local_addr()).is_ok());
}

/// Fails if a node does not see a lost connection or does not open another.
#[test]
fn a_call_after_a_broken_connection_opens_another() {
    let (a, _) = pair();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let closer = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut some = [0; 8];
        stream.read_exact(&mut some).expect("some bytes");
    });

    let broken = pull(&a, to);
    closer.join().expect("the listener ends");
    let gone = pull(&a, to);
    let b = start_at(to, PeerSettings::default(), Fixed::default());
    let back = pull(&a, b.local_addr());

    assert_matches!(broken, Err(PeerError::Broken(_)));
    assert_matches!(gone, Err(PeerError::Unreachable(_)));
    assert_matches!(back, Ok(_));
}

/// Fails if a stopped node keeps its port or its connections, or if the caller does not recover.
#[test]
fn a_peer_that_restarts_is_reached_again() {
    let (a, b) = pair();
    let to = b.local_addr();
    assert!(pull(&a, to).is_ok());

    drop(b);
    let down = pull(&a, to);
    let b = start_at(to, PeerSettings::default(), Fixed::default());
    let up = pull(&a, b.local_addr());

    assert_matches!(down, Err(PeerError::Unreachable(_) | PeerError::Broken(_)));
    assert_matches!(up, Ok(_));
}

/// Fails if a message above the limit is read, in either direction, or costs more than its
/// connection.
#[test]
fn an_oversized_message_costs_its_connection() {
    let small = PeerSettings {
        max_message: 8192,
        ..PeerSettings::default()
    };
    let (a, c) = pair();
    let b = start(small, Fixed::default());
    let talker = Fixed {
        bytes: 100_000,
        ..Fixed::default()
    };
    let big = start(PeerSettings::default(), talker);
    assert!(pull(&c, b.local_addr()).is_ok());

    let request = block_on(a.borrow(b.local_addr(), borrow_request(1000), SECOND));
    let reply = pull(&b, big.local_addr());

    assert_matches!(request, Err(PeerError::Broken(_) | PeerError::Rejected(_)));
    assert_matches!(reply, Err(PeerError::Broken(_) | PeerError::Rejected(_)));
    assert!(pull(&a, b.local_addr()).is_ok());
    assert!(pull(&c, b.local_addr()).is_ok());
    assert_eq!(
        c.counts().opened(),
        1,
        "the connection of another caller was lost"
    );
}

/// Fails if bytes that are no message end the node, or the connections of others.
#[test]
fn nonsense_costs_its_connection() {
    let (a, b) = pair();
    assert!(pull(&a, b.local_addr()).is_ok());
    let mut state = 1_u64;
    let mut random = move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 56) as u8
    };

    for round in 0..300_u32 {
        let mut stream = TcpStream::connect(b.local_addr()).expect("the node listens");
        let mut bytes: Vec<u8> = (0..64).map(|_| random()).collect();
        match round % 4 {
            0 => {}
            // One segment of six words, so that the content is looked at.
            1 => bytes[..8].copy_from_slice(&[0, 0, 0, 0, 6, 0, 0, 0]),
            // The same with a root that looks like a message of the protocol.
            2 => {
                bytes[..8].copy_from_slice(&[0, 0, 0, 0, 6, 0, 0, 0]);
                bytes[8..16].copy_from_slice(&[0, 0, 0, 0, 1, 0, 1, 0]);
                bytes[16..24].copy_from_slice(&[random() % 16, 0, 0, 0, 0, 0, 0, 0]);
            }
            _ => bytes.truncate(usize::from(random() % 32)),
        }
        // The node may close the connection first.
        let _ = stream.write_all(&bytes);
    }

    assert!(pull(&a, b.local_addr()).is_ok());
    assert_eq!(
        a.counts().opened(),
        1,
        "the connection of another caller was lost"
    );
}

/// Fails if a peer that answers with bytes that are no message ends the caller, or its connections
/// to others.
#[test]
fn a_nonsense_answer_costs_its_connection() {
    let (a, b) = pair();
    assert!(pull(&a, b.local_addr()).is_ok());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let to = listener.local_addr().expect("an address");
    let rounds = 50;
    let liar = std::thread::spawn(move || {
        for round in 0..rounds {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut frame = [0_u8; 56];
            frame[..8].copy_from_slice(&[0, 0, 0, 0, 6, 0, 0, 0]);
            frame[8..16].copy_from_slice(&[0, 0, 0, 0, 1, 0, 1, 0]);
            frame[16] = round;
            frame[24..].fill(round.wrapping_mul(37));
            // The caller may close the connection first.
            let _ = stream.write_all(&frame);
            let _ = stream.read(&mut frame);
        }
    });

    for _ in 0..rounds {
        let answer = block_on(a.pull(to, pull_request(), Millis(300)));
        assert!(answer.is_err(), "{answer:?}");
    }

    liar.join().expect("the listener ends");
    assert!(pull(&a, b.local_addr()).is_ok());
}

/// Fails if callers can hold more connections than the limit, or if a closed one keeps its place.
#[test]
fn connections_are_limited() {
    let settings = PeerSettings {
        max_accepted: 2,
        ..PeerSettings::default()
    };
    let b = start(settings, Fixed::default());
    let callers: Vec<_> = (0..3).map(|_| pair().0).collect();

    let outcomes: Vec<_> = callers
        .iter()
        .map(|c| pull(c, b.local_addr()).is_ok())
        .collect();
    assert_eq!(outcomes, [true, true, false]);
    assert_eq!(b.counts().refused(), 1);

    let mut callers = callers.into_iter();
    drop(callers.next());
    std::thread::sleep(Duration::from_millis(100));
    let last = callers.next_back().expect("three callers");
    assert!(pull(&last, b.local_addr()).is_ok());
}

/// Fails if connections that nobody uses are kept.
#[test]
fn an_idle_connection_is_closed() {
    let settings = PeerSettings {
        idle: Millis(100),
        ..PeerSettings::default()
    };
    let (a, b) = (start(settings, Fixed::default()), pair().0);

    assert!(pull(&a, b.local_addr()).is_ok());
    std::thread::sleep(Duration::from_millis(500));
    assert!(pull(&a, b.local_addr()).is_ok());

    assert_eq!(a.counts().opened(), 2);
}
