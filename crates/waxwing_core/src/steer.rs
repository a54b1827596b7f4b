//! Traffic steering: the entry VMs that callers should use, and the regions that run requests.

mod lookup;

use fastrand::Rng;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, ShiftName};

use crate::{ActiveShift, Config, Members, Vm};

pub use lookup::{LOOKUP_LIFETIME, LookupAnswer};

/// The whole traffic, as a share in millionths.
const FULL_SHARE: u64 = 1_000_000;

/// The steering decisions of one VM.
#[derive(Clone, Debug)]
pub struct Steering {
    domain: DomainId,
}

impl Steering {
    /// Creates the steering for a VM in the failure domain `domain`.
    pub fn new(domain: DomainId) -> Self {
        Self { domain }
    }

    /// The region to which this VM belongs, `None` while no active record names its failure domain.
    pub fn own_region<'a>(&self, config: &'a Config) -> Option<&'a RegionId> {
        config.region_of(&self.domain)
    }

    /// Draws whether a planned shift moves a request for the service that entered in this region.
    /// Returns the shift and the region that should run the request.
    ///
    /// The request runs in this region if no shift is drawn, or if the limit
    /// [`LimitKey::Shift`](crate::LimitKey) has no token left for it.
    ///
    /// If several shifts move a service out of one region, each moves its own share of the traffic.
    /// Together they move at most all of it.
    pub fn pick_shift(
        &self,
        now: Millis,
        config: &Config,
        service: &ServiceId,
        rng: &mut Rng,
    ) -> Option<(ShiftName, RegionId)> {
        let region = self.own_region(config)?;
        let mut draw = rng.u64(..FULL_SHARE);
        for active in config.shifts_from(service, region) {
            let share = current_share(now, active);
            if draw < share {
                return Some((active.name.clone(), active.shift.to.clone()));
            }
            draw -= share;
        }
        None
    }

    /// Picks a usable entry VM of a region at random.
    pub fn pick_entry_vm<'a>(
        &self,
        now: Millis,
        config: &Config,
        members: &'a Members,
        region: &RegionId,
        rng: &mut Rng,
    ) -> Option<&'a Vm> {
        let domains = &config.regions().get(region)?.domains;
        let indexes = domains.iter().flat_map(|d| members.vm_indexes(&d.name));
        let mut indexes: Vec<_> = indexes.copied().collect();
        // Most VMs are usable, so that the first draw nearly always succeeds.
        while !indexes.is_empty() {
            let index = indexes.swap_remove(rng.usize(..indexes.len()));
            if let Some(vm) = members.usable_at(now, index) {
                return Some(vm);
            }
        }
        None
    }
}

/// The share of the traffic that a shift moves at the time `now`, in millionths. It grows linearly
/// during the ramp.
fn current_share(now: Millis, active: &ActiveShift) -> u64 {
    let full = u64::from(active.shift.percent) * (FULL_SHARE / 100);
    let ramp = active.shift.ramp.0;
    let elapsed = now.since(active.active_since).0;
    if elapsed >= ramp {
        return full;
    }
    let scaled = u128::from(full) * u128::from(elapsed) / u128::from(ramp);
    u64::try_from(scaled).unwrap_or(full)
}
