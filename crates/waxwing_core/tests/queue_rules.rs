//! Tests of the fair queue. The last argument of `dequeue` is the number of free slots.

use assert_matches::assert_matches;
use waxwing_core::{Capacity, FairQueue, FlowId, QueuedRequest};
use waxwing_types::Millis;

/// Capacity of one usable target, which runs at most `limit` requests at a time.
fn capacity(limit: u32) -> Capacity {
    Capacity {
        usable: 1,
        limit,
        ..Capacity::default()
    }
}

/// A request with this flow id, workspace, cost and deadline in ms. The workspace has weight 1, and
/// its API key has the same name.
fn queued_request(flow_id: u64, workspace: &str, cost: u32, deadline_ms: u64) -> QueuedRequest {
    QueuedRequest {
        flow_id: FlowId(flow_id),
        service: "s".into(),
        workspace: workspace.into(),
        weight: 1,
        cost,
        deadline: Millis(deadline_ms),
        key_id: Some(workspace.into()),
    }
}

/// Guards against a long queue of costly requests of one workspace that delays the first request of
/// another workspace, and against queues that grow without bound.
#[test]
fn a_long_queue_is_bounded_and_does_not_delay_another_workspace() {
    let mut queue = FairQueue::default();
    for flow_id in 0..1000 {
        queue
            .enqueue(
                Millis(0),
                queued_request(flow_id, "large", 10, 9000),
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
    for flow_id in 7000..7100 {
        let _ = queue.enqueue(
            Millis(0),
            queued_request(flow_id, "large", 1, 9000),
            capacity(1),
        );
    }
    // At most 1024 requests of one workspace may wait for a service.
    assert!(queue.len() <= 1024, "more than 1024 requests wait");
}

/// Guards against shares that are counted in requests, which would favor workspaces with costly
/// requests, and against weights that have no effect.
#[test]
fn served_cost_is_proportional_to_the_weights() {
    let mut queue = FairQueue::default();
    // Name, cost of each request, and weight of each workspace.
    let workspaces = [("a", 1, 1), ("b", 4, 1), ("c", 1, 2)];
    for (flow_id, (name, cost, weight)) in (0..300).zip(workspaces.into_iter().cycle()) {
        let request = QueuedRequest {
            weight,
            ..queued_request(flow_id, name, cost, 9000)
        };
        queue
            .enqueue(Millis(0), request, capacity(1))
            .expect("enqueued");
    }

    // Cost of the dequeued requests of each workspace. A request of `b` costs 4.
    let mut served_cost = [0, 0, 0];
    for flow_id in queue.dequeue(Millis(0), &"s".into(), 65) {
        match flow_id.0 % 3 {
            0 => served_cost[0] += 1,
            1 => served_cost[1] += 4,
            _ => served_cost[2] += 1,
        }
    }

    assert_eq!(served_cost, [20, 20, 40]);
}

/// Guards against queueing requests that cannot be served in time, and against rejecting requests
/// of other workspaces because one workspace has a long queue.
#[test]
fn requests_that_would_miss_their_deadline_are_rejected() {
    let mut queue = FairQueue::default();
    // A request of cost 1 held its slot for 100 ms.
    queue.record_slot_time(&"s".into(), 1, Millis(100));
    for flow_id in 0..20 {
        queue
            .enqueue(
                Millis(0),
                queued_request(flow_id, "large", 1, 9000),
                capacity(2),
            )
            .expect("enqueued");
    }

    let large_result = queue.enqueue(Millis(0), queued_request(50, "large", 1, 900), capacity(2));
    let small_result = queue.enqueue(Millis(0), queued_request(51, "small", 1, 900), capacity(2));

    // The estimated wait in ms: 20 requests of 100 ms each on 2 slots.
    assert_matches!(large_result, Err(Millis(1000)));
    assert_matches!(small_result, Ok(()));
}

/// Guards against requests that keep waiting after their API key was withdrawn.
#[test]
fn requests_of_a_removed_key_leave_the_queue() {
    let mut queue = FairQueue::default();
    queue
        .enqueue(Millis(0), queued_request(1, "a", 1, 9000), capacity(1))
        .expect("enqueued");
    queue
        .enqueue(Millis(0), queued_request(2, "b", 1, 9000), capacity(1))
        .expect("enqueued");

    assert_eq!(queue.remove_requests_of_key("a"), [FlowId(1)]);

    assert_eq!(queue.len(), 1);
    // `false`: the removed request has no reserved slot that it could take.
    assert!(!queue.take_dequeued(FlowId(1)));
    queue.check_invariants();
}
