//! The memory that a process may hold, added up.

use waxwing_http::{ClientLimits, ServerLimits};

use super::super::body::{RESERVE_RATIO, buffer_body};
use super::super::forward::RESPONSE_BUFFER_BYTES;
use super::super::request_body::REQUEST_BUFFER_BYTES;
use super::super::test_settings::settings;
use super::{
    BodyBudget, CONNECTION_BYTES, IDLE_TARGET_BYTES, MAX_FRAME_BYTES, MemoryLimits, REQUEST_BYTES,
    SMALL_BODY_BYTES,
};

const MB: usize = 1_000_000;
/// Memory of the smallest VM of the users' deployments.
const SMALLEST_VM: usize = 112 * MB;

/// Guards against a process that runs out of memory because every caller and every target is slow or faulty at once.
#[test]
fn all_that_a_process_may_hold_fits_into_its_memory() {
    for memory in [SMALLEST_VM, 182 * MB, 1000 * MB] {
        let limits = MemoryLimits::new(memory);
        let held = limits.connections * CONNECTION_BYTES
            + limits.idle_targets * IDLE_TARGET_BYTES
            + limits.requests * REQUEST_BYTES
            + limits.large_bodies;
        assert!(held <= memory / 100 * 85, "{held} of {memory}");
    }
}

/// Guards against limits that count less than the HTTP library may hold.
#[test]
fn the_bytes_of_a_request_cover_the_buffers_of_the_library() {
    let (server, client) = (ServerLimits::default(), ClientLimits::default());
    let buffers = 2 * server.buffer_bytes() + 2 * client.buffer_bytes();
    assert!(buffers + 2 * SMALL_BODY_BYTES <= REQUEST_BYTES);
    assert!(server.buffer_bytes() <= MAX_FRAME_BYTES);
    assert!(client.buffer_bytes() <= MAX_FRAME_BYTES);
}

/// Guards against limits that keep a small VM from serving: the connections of the settings, some two hundred requests at a time,
/// connections that are kept for further requests, and a few large bodies in each direction.
#[test]
fn the_smallest_vm_serves_its_callers() {
    let settings = settings(&[]);
    let limits = MemoryLimits::new(settings.memory);
    assert_eq!(settings.memory, SMALLEST_VM);
    assert!(limits.connections >= settings.max_connections);
    assert!(limits.requests >= 200, "{}", limits.requests);
    assert!(limits.idle_targets >= 150, "{}", limits.idle_targets);
    let large = RESERVE_RATIO * REQUEST_BUFFER_BYTES + RESPONSE_BUFFER_BYTES + MAX_FRAME_BYTES;
    assert!(limits.large_bodies >= 8 * large);
}

/// Guards against bodies that are buffered beyond the budget, and against a budget that shrinks with each body.
#[test]
fn a_body_without_room_in_the_budget_is_passed_on() {
    let budget = BodyBudget::new(300_000);
    let buffer = |bytes: usize| {
        let body = waxwing_http::full(vec![b'x'; bytes]);
        futures_lite::future::block_on(buffer_body(body, 200_000, &budget)).expect("a body")
    };
    for _ in 0..10 {
        let first = buffer(150_000);
        assert!(first.rest.is_none());
        let second = buffer(150_000);
        assert!(second.rest.is_some(), "there is no room for a second one");
        assert!(buffer(SMALL_BODY_BYTES).rest.is_none());
    }
    assert!(buffer(150_000).rest.is_none());
}
