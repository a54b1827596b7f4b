//! Tests of datagrams that arrive late, twice or out of order.

use std::net::SocketAddr;

use waxwing_edge::{Datagram, DatagramFilter, PeerMessage};
use waxwing_types::{Incarnation, Millis};

const NOW: Millis = Millis(10_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn tokens(process: u64, number: u64) -> Datagram {
    Datagram {
        process: Some(Incarnation(process)),
        number: Some(number),
        message: PeerMessage::Quota {
            granted: Vec::new(),
            requested: Vec::new(),
            urgent: false,
        },
    }
}

fn heartbeat(number: u64) -> Datagram {
    let message = PeerMessage::Heartbeat {
        vm: "v1".into(),
        incarnation: Incarnation(1),
        ready: true,
        targets: Vec::new(),
    };
    Datagram {
        message,
        ..tokens(1, number)
    }
}

/// Guards against a repeated datagram that is handled again, at once or after many others.
#[test]
fn a_repeated_datagram_is_not_accepted() {
    let mut filter = DatagramFilter::default();
    for number in [1, 2, 5, 4] {
        assert!(filter.accept(NOW, address(1), &tokens(1, number)));
    }
    for number in [1, 2, 4, 5] {
        assert!(!filter.accept(NOW, address(1), &tokens(1, number)));
    }
    for number in 10..40 {
        assert!(filter.accept(NOW, address(1), &tokens(1, number)));
    }
    for number in 0..40 {
        assert!(!filter.accept(NOW, address(1), &tokens(1, number)));
    }
}

/// Guards against datagrams that are dropped although they arrive for the first time: other senders, a later process, a small
/// reordering, or an older version that states no number.
#[test]
fn new_datagrams_are_accepted() {
    let mut filter = DatagramFilter::default();
    let unnumbered = Datagram {
        process: None,
        number: None,
        ..tokens(0, 0)
    };
    let first = tokens(1, 1000);
    for (port, datagram) in [
        (1, &first),
        (2, &first),
        (1, &tokens(1, 990)),
        (1, &tokens(2, 1)),
        (1, &unnumbered),
        (1, &unnumbered),
    ] {
        let accepted = filter.accept(NOW, address(port), datagram);
        assert!(accepted, "{datagram:?}");
    }
}

/// Guards against a late heartbeat of a VM, or of its earlier process, that revokes what the VM has stated since.
#[test]
fn a_late_heartbeat_is_not_accepted() {
    let mut filter = DatagramFilter::default();
    assert!(filter.accept(NOW, address(1), &heartbeat(3)));
    assert!(!filter.accept(NOW, address(1), &heartbeat(2)));
    assert!(filter.accept(NOW, address(1), &tokens(1, 7)));
    assert!(filter.accept(NOW, address(1), &heartbeat(6)));
    assert!(filter.accept(NOW, address(1), &tokens(2, 1)));
    assert!(!filter.accept(NOW, address(1), &heartbeat(8)));
}

/// Guards against senders that fill the memory: addresses that were silent for a minute are forgotten.
#[test]
fn silent_senders_are_forgotten() {
    let mut filter = DatagramFilter::default();
    for port in 1..=1024 {
        assert!(filter.accept(NOW, address(port), &tokens(1, 1)));
    }
    let later = NOW + Millis::from_secs(61);
    assert!(filter.accept(later, address(2000), &tokens(1, 1)));
    assert!(filter.accept(later, address(1), &tokens(1, 1)));
    assert!(!filter.accept(later, address(1), &tokens(1, 1)));
}

/// Guards against a VM that is not heard because its time of day went back before its process started again.
#[test]
fn a_process_with_an_earlier_incarnation_is_accepted_once_the_other_one_is_silent() {
    let mut filter = DatagramFilter::default();
    assert!(filter.accept(NOW, address(1), &tokens(2, 9)));
    assert!(!filter.accept(NOW + Millis(3000), address(1), &tokens(1, 1)));
    assert!(filter.accept(NOW + Millis(4000), address(1), &tokens(1, 2)));
    assert!(filter.accept(NOW + Millis(4100), address(1), &tokens(1, 3)));
}
