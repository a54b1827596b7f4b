//! The time from a change of a large deployment to its use, compared with the limit.

use waxwing_types::Millis;

use super::super::patch::MAX_SEND_TIME;
use super::super::state_age::{CALL_TIME, DATAGRAM_TIME, SEND_TIME};
use super::super::test_settings::settings;
use super::super::ticks::TICK_PERIOD;
use super::super::watch_progress::MAX_LAG;
use super::{ReadCost, batch_time};

/// Size of a route in the record.
const ROUTE_BYTES: u64 = 95;
/// Bandwidth of the store in bytes per ms.
const STORE_BANDWIDTH: u64 = 125_000;
/// Bandwidth of a VM with 10 Mbit/s in bytes per ms, and of one with 700 Mbit/s.
const SLOW_LINK: u64 = 1_250;
const FAST_LINK: u64 = 87_500;

/// Time from a change right after the start of a read by the store reader to the end of the next read.
fn reader_delay(limit: Millis, link: u64, vms: u64, routes: u64) -> Millis {
    let settings = settings(&[&format!("--apply-ms={}", limit.0)]);
    let bytes = routes * ROUTE_BYTES;
    let reader_read = CALL_TIME + Millis(bytes / link);
    let cost = ReadCost {
        time: reader_read,
        bytes,
    };
    let pause = batch_time(&settings, cost, vms);
    reader_read + pause + reader_read
}

/// Time from a change to the last request of the old version, where each VM reads the record itself.
fn delay_by_read(limit: Millis, link: u64, vms: u64, routes: u64) -> Millis {
    let bytes = routes * ROUTE_BYTES;
    let vm_read = CALL_TIME + Millis((bytes / link).max(bytes * vms / STORE_BANDWIDTH));
    let report = DATAGRAM_TIME + MAX_LAG + TICK_PERIOD;
    reader_delay(limit, link, vms, routes) + report + vm_read + SEND_TIME
}

/// The same where each VM receives a patch.
fn delay_by_patch(limit: Millis, link: u64, vms: u64, routes: u64) -> Millis {
    reader_delay(limit, link, vms, routes) + MAX_SEND_TIME + DATAGRAM_TIME + SEND_TIME
}

/// Guards against a pause between two reads that leaves no time for a large record.
#[test]
fn the_steps_of_a_change_of_a_large_deployment_fit_into_the_limit() {
    let deployments = [
        (2500, FAST_LINK, 18, 1_400),
        (2500, FAST_LINK, 18, 10_000),
        (4000, SLOW_LINK, 121, 1_400),
        (4000, SLOW_LINK, 121, 8_000),
        (4000, SLOW_LINK, 146, 7_000),
        (4000, SLOW_LINK, 295, 5_000),
        (4000, SLOW_LINK, 1_146, 1_900),
    ];
    for (limit, link, vms, routes) in deployments {
        let limit = Millis(limit);

        let delay = delay_by_read(limit, link, vms, routes);

        assert!(
            delay <= limit,
            "{vms} VMs, {routes} routes: {delay} of {limit}"
        );
    }
}

/// Guards against patches that come too late in a fleet in which the VMs cannot all read the record in time.
#[test]
fn a_patch_of_the_largest_deployment_arrives_within_the_limit() {
    let deployments = [
        (2500, FAST_LINK, 18),
        (4000, SLOW_LINK, 121),
        (4000, SLOW_LINK, 146),
        (4000, SLOW_LINK, 295),
        (4000, SLOW_LINK, 1_146),
    ];
    for (limit, link, vms) in deployments {
        let limit = Millis(limit);

        let delay = delay_by_patch(limit, link, vms, 10_000);

        assert!(delay <= limit, "{vms} VMs: {delay} of {limit}");
    }
}

/// Guards against a longer pause for a small record, which the limits allowed before.
#[test]
fn a_small_record_is_read_in_batches_as_long_as_the_limit_allows() {
    for (limit, pause) in [(2500, 500), (4000, 2000)] {
        let settings = settings(&[&format!("--apply-ms={limit}")]);

        let batch_time = batch_time(&settings, ReadCost::default(), 18);

        assert_eq!(batch_time, Millis(pause));
    }
}
