//! Tests of the edge daemon with datagrams of another VM that the network delivers twice, late or out of order.

#[path = "edge/fixture.rs"]
mod fixture;

use std::net::{SocketAddr, UdpSocket};

use fixture::{Fixture, TargetBehavior, deployment, run_test, wait_until};
use waxwing_edge::PeerMessage;
use waxwing_records::{ChangeLog, Deployment};
use waxwing_types::Revision;
use waxwingrail::edge::EdgeDaemon;

/// Greatest number of requests that a test sends to use up the tokens of a VM.
const MAX_REQUESTS: usize = 20;

/// A deployment whose workspace gets no tokens during a test besides a quarter of the burst, which is two tokens.
fn scarce_deployment() -> Deployment {
    let mut record = deployment(1);
    for workspace in record.workspaces.iter_mut().flatten() {
        workspace.rate = 1;
        workspace.burst = 8;
    }
    record
}

/// A datagram that transfers 2.4 tokens, as the process with this incarnation sends it.
fn grant(incarnation: u64, number: u64) -> String {
    format!(
        r#"{{"t":"quota","from":{incarnation},"n":{number},"give":[{{"workspace":"w","amount":2400000}}],"ask":[],"urgent":false}}"#
    )
}

/// Sends datagrams, and waits until the VM has handled them: it answers a request for tokens that follows.
async fn send_and_wait(socket: &UdpSocket, peer: SocketAddr, datagrams: &[String]) {
    for datagram in datagrams {
        socket.send_to(datagram.as_bytes(), peer).expect("sent");
    }
    let timeout = std::time::Duration::from_millis(100);
    socket.set_read_timeout(Some(timeout)).expect("a time-out");
    wait_until("a request for tokens is answered", async || {
        let ask = r#"{"t":"quota","give":[],"ask":[{"workspace":"w","amount":1}],"urgent":true}"#;
        socket.send_to(ask.as_bytes(), peer).expect("sent");
        socket.recv(&mut [0; 1500]).is_ok()
    })
    .await;
}

/// Sends requests until one is refused, and returns how many were admitted.
async fn admitted_requests(fixture: &Fixture, daemon: &EdgeDaemon) -> usize {
    for count in 0..MAX_REQUESTS {
        let status = fixture.call(daemon, "safe").await.status;
        if status == 429 {
            return count;
        }
        assert_eq!(status, 200);
    }
    MAX_REQUESTS
}

/// Sends datagrams to a VM that has two tokens, and returns how many requests it then admits.
fn admitted_after(datagrams: &[String]) -> usize {
    let mut admitted = 0;
    run_test(async |fixture| {
        fixture.deploy(scarce_deployment());
        let _target = fixture.start_target("t1", TargetBehavior::Answer).await;
        let daemon = fixture.ready_daemon().await;
        let peer = fixture.peer_address("v1").await;
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        send_and_wait(&socket, peer, datagrams).await;
        admitted = admitted_requests(&fixture, &daemon).await;
    });
    admitted
}

/// Guards against tokens that count twice because the network delivers their datagram twice, also after later ones: more
/// requests run than the quota allows.
#[test]
fn tokens_of_a_repeated_datagram_count_once() {
    let (first, second) = (grant(5, 1), grant(5, 2));
    assert_eq!(admitted_after(&[first.clone(), first.clone()]), 4);
    let late = [first.clone(), second.clone(), first, second];
    assert_eq!(admitted_after(&late), 6);
}

/// Guards against a deployment that anyone who can send a datagram puts in force.
#[test]
fn a_patch_of_an_unknown_sender_is_not_used() {
    run_test(async |fixture| {
        let (daemon, _target) = fixture.daemon_with_target().await;
        let peer = fixture.peer_address("v1").await;
        let mut changed = deployment(2);
        changed.routes.clear();
        let mut log = ChangeLog::default();
        log.record(&deployment(1), &changed);
        let patch = PeerMessage::DeploymentPatch {
            epoch: None,
            revision: Revision(100),
            patch: log.patch(&changed, (5000, 5000)).expect("a patch"),
        };
        let datagram = serde_json::to_string(&patch).expect("a datagram");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");

        send_and_wait(&socket, peer, &[datagram]).await;

        assert_eq!(fixture.call(&daemon, "safe").await.status, 200);
    });
}
