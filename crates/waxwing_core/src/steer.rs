//! Where callers and requests go.

mod lookup;

use fastrand::Rng;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, ShiftName};

use crate::{ActiveShift, Config, Members, Vm};

pub use lookup::{LOOKUP_LIFETIME, LookupAnswer};

/// Millionths in a whole share.
const WHOLE: u64 = 1_000_000;

/// Steering of one VM.
#[derive(Clone, Debug)]
pub struct Steering {
    domain: DomainId,
}

impl Steering {
    /// Steering of a VM in a failure domain.
    pub fn new(domain: DomainId) -> Self {
        Self { domain }
    }

    /// The region of this VM, once its record is in force.
    pub fn own_region<'a>(&self, config: &'a Config) -> Option<&'a RegionId> {
        config.region_of(&self.domain)
    }

    /// The planned shift that moves a request of the service that entered here, and the region that
    /// should run it. Without a shift, or without a token of [`LimitKey::Shift`](crate::LimitKey),
    /// it runs in this region.
    ///
    /// Several shifts of a service from one region divide its traffic; together they move at most
    /// all of it.
    pub fn pick_shift(
        &self,
        now: Millis,
        config: &Config,
        service: &ServiceId,
        rng: &mut Rng,
    ) -> Option<(ShiftName, RegionId)> {
        let home = self.own_region(config)?;
        let mut draw = rng.u64(..WHOLE);
        for active in config.shifts_from(service, home) {
            let share = share(now, active);
            if draw < share {
                return Some((active.name.clone(), active.shift.to.clone()));
            }
            draw -= share;
        }
        None
    }

    /// An entry VM of another region, at random among those that are usable.
    pub fn pick_entry_vm<'a>(
        &self,
        now: Millis,
        config: &Config,
        members: &'a Members,
        region: &RegionId,
        rng: &mut Rng,
    ) -> Option<&'a Vm> {
        let domains = &config.regions().get(region)?.domains;
        let slots = domains.iter().flat_map(|d| members.vm_indexes(&d.name));
        let mut slots: Vec<_> = slots.copied().collect();
        // Most draws find a usable VM at once.
        while !slots.is_empty() {
            let drawn = slots.swap_remove(rng.usize(..slots.len()));
            if let Some(vm) = members.usable_at(now, drawn) {
                return Some(vm);
            }
        }
        None
    }
}

/// The part of the traffic that a shift moves now, in millionths.
fn share(now: Millis, active: &ActiveShift) -> u64 {
    let full = u64::from(active.shift.percent) * (WHOLE / 100);
    let ramp = active.shift.ramp.0;
    let passed = now.since(active.active_since).0;
    if passed >= ramp {
        return full;
    }
    let scaled = u128::from(full) * u128::from(passed) / u128::from(ramp);
    u64::try_from(scaled).unwrap_or(full)
}
