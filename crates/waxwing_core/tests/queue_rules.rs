//! Rules of the fair queue.

use assert_matches::assert_matches;
use waxwing_core::{Capacity, FairQueue, FlowId, QueuedRequest};
use waxwing_types::Millis;

fn room(limit: u32) -> Capacity {
    Capacity {
        usable: 1,
        limit,
        ..Capacity::default()
    }
}

fn ticket(flow: u64, workspace: &str, cost: u32, deadline: u64) -> QueuedRequest {
    QueuedRequest {
        flow_id: FlowId(flow),
        service: "s".into(),
        workspace: workspace.into(),
        weight: 1,
        cost,
        deadline: Millis(deadline),
        key_id: Some(workspace.into()),
    }
}

/// Guards against a long or costly queue of one workspace that delays the first request of another.
#[test]
fn a_long_queue_does_not_delay_the_head_of_another() {
    let mut queue = FairQueue::default();
    for flow in 0..1000 {
        queue
            .enqueue(Millis(0), ticket(flow, "large", 10, 9000), room(1))
            .expect("joins");
    }
    queue.dequeue(Millis(0), &"s".into(), 1);
    queue
        .enqueue(Millis(0), ticket(5000, "small", 1, 9000), room(1))
        .expect("joins");

    let next = queue.dequeue(Millis(0), &"s".into(), 3);

    assert!(next.contains(&FlowId(5000)), "{next:?}");
    assert_matches!(
        queue.enqueue(Millis(0), ticket(6000, "large", 1, 9000), room(1)),
        Ok(())
    );
    for flow in 7000..7100 {
        let _ = queue.enqueue(Millis(0), ticket(flow, "large", 1, 9000), room(1));
    }
    assert!(queue.len() <= 1024, "length bound");
}

/// Guards against shares counted in requests, by which costly ones would get more, and against
/// weights that have no effect.
#[test]
fn served_cost_follows_the_weights() {
    let mut queue = FairQueue::default();
    let lanes = [("a", 1, 1), ("b", 4, 1), ("c", 1, 2)];
    for (flow, (name, cost, weight)) in (0..300).zip(lanes.into_iter().cycle()) {
        let ticket = QueuedRequest {
            weight,
            ..ticket(flow, name, cost, 9000)
        };
        queue.enqueue(Millis(0), ticket, room(1)).expect("joins");
    }

    let mut served = [0, 0, 0];
    for flow in queue.dequeue(Millis(0), &"s".into(), 65) {
        match flow.0 % 3 {
            0 => served[0] += 1,
            1 => served[1] += 4,
            _ => served[2] += 1,
        }
    }

    assert_eq!(served, [20, 20, 40]);
}

/// Guards against queueing what cannot be served in time, and against rejecting another workspace
/// because of it.
#[test]
fn hopeless_requests_are_rejected_on_arrival() {
    let mut queue = FairQueue::default();
    queue.record_slot_time(&"s".into(), 1, Millis(100));
    for flow in 0..20 {
        queue
            .enqueue(Millis(0), ticket(flow, "large", 1, 9000), room(2))
            .expect("joins");
    }

    let late = queue.enqueue(Millis(0), ticket(50, "large", 1, 900), room(2));
    let small = queue.enqueue(Millis(0), ticket(51, "small", 1, 900), room(2));

    assert_matches!(late, Err(Millis(1000)));
    assert_matches!(small, Ok(()));
}

/// Guards against requests of a withdrawn key that go on waiting.
#[test]
fn a_withdrawn_key_empties_its_queue() {
    let mut queue = FairQueue::default();
    queue
        .enqueue(Millis(0), ticket(1, "a", 1, 9000), room(1))
        .expect("joins");
    queue
        .enqueue(Millis(0), ticket(2, "b", 1, 9000), room(1))
        .expect("joins");

    assert_eq!(queue.remove_key("a"), [FlowId(1)]);

    assert_eq!(queue.len(), 1);
    assert!(!queue.take_dequeued(FlowId(1)));
    queue.check_invariants();
}
