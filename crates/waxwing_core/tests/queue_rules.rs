//! Tests of the fair queue.

use assert_matches::assert_matches;
use waxwing_core::{Capacity, FairQueue, FlowId, QueuedRequest};
use waxwing_types::Millis;

fn capacity(limit: u32) -> Capacity {
    Capacity {
        usable: 1,
        limit,
        ..Capacity::default()
    }
}

fn queued_request(flow: u64, workspace: &str, cost: u32, deadline: u64) -> QueuedRequest {
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

/// Guards against a long queue of costly requests of one workspace that delays the first request of
/// another.
#[test]
fn a_long_queue_does_not_delay_the_first_request_of_another() {
    let mut queue = FairQueue::default();
    for flow in 0..1000 {
        queue
            .enqueue(
                Millis(0),
                queued_request(flow, "large", 10, 9000),
                capacity(1),
            )
            .expect("enqueued");
    }
    queue.dequeue(Millis(0), &"s".into(), 1);
    queue
        .enqueue(
            Millis(0),
            queued_request(5000, "small", 1, 9000),
            capacity(1),
        )
        .expect("enqueued");

    let dequeued = queue.dequeue(Millis(0), &"s".into(), 3);

    assert!(dequeued.contains(&FlowId(5000)), "{dequeued:?}");
    assert_matches!(
        queue.enqueue(
            Millis(0),
            queued_request(6000, "large", 1, 9000),
            capacity(1)
        ),
        Ok(())
    );
    for flow in 7000..7100 {
        let _ = queue.enqueue(
            Millis(0),
            queued_request(flow, "large", 1, 9000),
            capacity(1),
        );
    }
    assert!(queue.len() <= 1024, "length bound");
}

/// Guards against shares that are counted in requests, which would favor workspaces with costly
/// requests, and against weights that have no effect.
#[test]
fn served_cost_is_proportional_to_the_weights() {
    let mut queue = FairQueue::default();
    let workspaces = [("a", 1, 1), ("b", 4, 1), ("c", 1, 2)];
    for (flow, (name, cost, weight)) in (0..300).zip(workspaces.into_iter().cycle()) {
        let request = QueuedRequest {
            weight,
            ..queued_request(flow, name, cost, 9000)
        };
        queue
            .enqueue(Millis(0), request, capacity(1))
            .expect("enqueued");
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

/// Guards against queueing requests that cannot be served in time, and against rejecting requests
/// of other workspaces because one workspace has a long queue.
#[test]
fn requests_that_would_miss_their_deadline_are_rejected() {
    let mut queue = FairQueue::default();
    queue.record_slot_time(&"s".into(), 1, Millis(100));
    for flow in 0..20 {
        queue
            .enqueue(
                Millis(0),
                queued_request(flow, "large", 1, 9000),
                capacity(2),
            )
            .expect("enqueued");
    }

    let large = queue.enqueue(Millis(0), queued_request(50, "large", 1, 900), capacity(2));
    let small = queue.enqueue(Millis(0), queued_request(51, "small", 1, 900), capacity(2));

    assert_matches!(large, Err(Millis(1000)));
    assert_matches!(small, Ok(()));
}

/// Guards against requests that keep waiting after their key was withdrawn.
#[test]
fn requests_of_a_removed_key_leave_the_queue() {
    let mut queue = FairQueue::default();
    queue
        .enqueue(Millis(0), queued_request(1, "a", 1, 9000), capacity(1))
        .expect("enqueued");
    queue
        .enqueue(Millis(0), queued_request(2, "b", 1, 9000), capacity(1))
        .expect("enqueued");

    assert_eq!(queue.remove_key("a"), [FlowId(1)]);

    assert_eq!(queue.len(), 1);
    assert!(!queue.take_dequeued(FlowId(1)));
    queue.check_invariants();
}
