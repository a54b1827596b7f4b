//! The table of known targets, by service.

use std::collections::{HashMap, HashSet};

use slotmap::SlotMap;
use waxwing_records::Registration;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, TargetId};

use super::tracked::{OtherVmLoad, TrackedTarget};
use super::{ColdStartLimit, LoadReport, TargetKey, TargetOutcome, VmLocation};
use crate::hash::{hash_bytes, mix64};
use crate::region_split::{RegionCapacity, RegionSplit};

/// Number of VMs that send requests to a cold target. Each may hold a token for one request, so more VMs
/// would exceed its limit.
const MAX_COLD_SENDERS: usize = 4;
/// Percentage of a cold target's rate limit that is used. VMs may disagree for a moment about which of them
/// send.
const COLD_RATE_PERCENT: u64 = 80;
/// Weight of a new sample in the average unloaded latency of a service.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;

/// Totals of one service's targets in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionTotals {
    targets: u32,
    /// Requests of this VM that are in flight at them.
    in_flight: u32,
}

/// The targets of one service.
pub(crate) struct ServiceTargets {
    pub(crate) keys: Vec<TargetKey>,
    /// `None` before the first [`TargetPool::tick`].
    pub(crate) region_split: Option<RegionSplit>,
    /// Whether a request for the service has arrived. Until then the split is computed anew from the slots.
    pub(crate) has_requests: bool,
    /// Totals by region index.
    region_totals: Vec<RegionTotals>,
    /// Average latency in ms of targets that have a free slot, 0 before the first response.
    pub(crate) unloaded_latency_ms: f64,
    pub(crate) cold_start_limit: ColdStartLimit,
}

/// The targets of all services.
pub struct TargetPool {
    pub(crate) location: VmLocation,
    /// All regions; their index in this list identifies them elsewhere.
    pub(crate) regions: Vec<RegionId>,
    pub(crate) own_region: usize,
    pub(crate) targets: SlotMap<TargetKey, TrackedTarget>,
    keys_by_id: HashMap<TargetId, TargetKey>,
    pub(crate) services: HashMap<ServiceId, ServiceTargets>,
    evacuated_domains: HashSet<DomainId>,
    /// Hash of this VM's id.
    own_vm_hash: u64,
    /// Hashes of the ids of all VMs in the region, including this one.
    region_vm_hashes: Vec<u64>,
}

/// Queries.
impl TargetPool {
    /// Fraction of a service's requests that this VM sends to a region; `None` before the first
    /// [`Self::tick`].
    pub fn region_fraction(&self, service: &ServiceId, region: &RegionId) -> Option<f64> {
        let region = self.regions.iter().position(|r| r == region)?;
        Some(
            self.services
                .get(service)?
                .region_split
                .as_ref()?
                .fraction(region),
        )
    }

    /// Whether a target may get a request now: it is ready, not ejected, not in an evacuated failure domain,
    /// and either warm or within its cold start limit.
    pub(crate) fn is_usable(&self, now: Millis, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        target.is_ready()
            && target.is_available(now)
            && !self.evacuated_domains.contains(&target.registration.domain)
            && (!target.is_cold(now) || target.has_cold_token())
    }

    /// Whether this VM is one of those that send requests to a target while it is cold, by rendezvous hashing
    /// over the VMs of the region.
    fn is_cold_sender(&self, target_hash: u64) -> bool {
        let own_score = mix64(self.own_vm_hash, target_hash);
        let higher = self
            .region_vm_hashes
            .iter()
            .filter(|vm| mix64(**vm, target_hash) > own_score);
        higher.count() < MAX_COLD_SENDERS
    }

    /// What is needed to estimate the requests of other VMs at a service's targets in a region.
    pub(crate) fn other_vm_load(&self, service: &ServiceTargets, region: usize) -> OtherVmLoad {
        let totals = service.region_totals[region];
        #[allow(clippy::cast_precision_loss, reason = "VMs are few")]
        let other_vms = self.region_vm_hashes.len().saturating_sub(1) as f64;
        OtherVmLoad {
            other_vms,
            mean_own_in_flight: f64::from(totals.in_flight) / f64::from(totals.targets.max(1)),
        }
    }

    /// Capacity and load of a service's usable targets in each region.
    pub(crate) fn region_capacities(
        &self,
        now: Millis,
        service: &ServiceTargets,
    ) -> Vec<RegionCapacity> {
        let mut capacities = vec![RegionCapacity::default(); self.regions.len()];
        for key in &service.keys {
            let target = &self.targets[*key];
            if self.is_usable(now, *key) {
                let capacity = &mut capacities[target.region];
                capacity.slots += target.slots();
                capacity.load += target.load(now, self.other_vm_load(service, target.region));
            }
        }
        capacities
    }
}

/// Commands.
impl TargetPool {
    /// Creates the pool of a VM, without targets.
    pub fn new(vm: &str, location: VmLocation) -> Self {
        let mut regions = vec![location.region.clone()];
        for (_, region) in &location.domain_regions {
            if !regions.contains(region) {
                regions.push(region.clone());
            }
        }
        // Sorted, so that the order is the same on every VM.
        regions.sort_unstable();
        let own_region = regions.iter().position(|r| *r == location.region);
        let own_vm_hash = hash_bytes(vm.as_bytes());
        Self {
            own_region: own_region.unwrap_or_default(),
            regions,
            location,
            targets: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            services: HashMap::new(),
            evacuated_domains: HashSet::new(),
            own_vm_hash,
            region_vm_hashes: vec![own_vm_hash],
        }
    }

    /// Sets the ids of all VMs in the region, including this one. They send requests to the same targets, and
    /// share the limit of cold ones.
    pub fn set_region_vms<'a>(&mut self, vms: impl Iterator<Item = &'a str>) {
        self.region_vm_hashes = vms.map(|vm| hash_bytes(vm.as_bytes())).collect();
    }

    /// Sets the limit on requests to cold targets of a service.
    pub fn set_cold_start_limit(&mut self, service: &ServiceId, limit: ColdStartLimit) {
        self.service(service).cold_start_limit = limit;
    }

    /// Adds or updates a target. A registration of an earlier process of the target is ignored.
    pub fn upsert(&mut self, now: Millis, registration: Registration) {
        if let Some(key) = self.keys_by_id.get(&registration.id).copied() {
            let target = &mut self.targets[key];
            if registration.incarnation < target.registration.incarnation {
                return;
            }
            let is_same_process = registration.incarnation == target.registration.incarnation
                && registration.address == target.registration.address
                && registration.service == target.registration.service
                && registration.domain == target.registration.domain;
            if is_same_process {
                target.update(now, registration);
                return;
            }
            self.remove(&registration.id);
        }
        let region = self.region_of(&registration.domain);
        let region_index = region.0;
        let in_own_domain = registration.domain == self.location.domain;
        let id_hash = hash_bytes(registration.id.as_str().as_bytes());
        let service = registration.service.clone();
        let id = registration.id.clone();
        let target = TrackedTarget::new(now, registration, region, in_own_domain, id_hash);
        let key = self.targets.insert(target);
        self.keys_by_id.insert(id, key);
        let service = self.service(&service);
        service.keys.push(key);
        service.region_totals[region_index].targets += 1;
    }

    /// Removes a target whose registration was deleted.
    pub fn remove(&mut self, id: &TargetId) {
        let Some(key) = self.keys_by_id.remove(id) else {
            return;
        };
        if let Some(target) = self.targets.remove(key)
            && let Some(service) = self.services.get_mut(&target.registration.service)
        {
            service.keys.retain(|k| *k != key);
            let totals = &mut service.region_totals[target.region];
            totals.targets = totals.targets.saturating_sub(1);
            totals.in_flight = totals.in_flight.saturating_sub(target.in_flight);
        }
    }

    /// Ids of the known targets that a complete list lacks.
    pub fn ids_not_in(&self, listed: &HashSet<TargetId>) -> Vec<TargetId> {
        let ids = self.keys_by_id.keys().filter(|id| !listed.contains(*id));
        ids.cloned().collect()
    }

    /// Sets the evacuated failure domains. Targets of a domain that is no longer evacuated are marked as cold,
    /// which they may have become meanwhile.
    pub fn set_evacuated_domains(&mut self, now: Millis, evacuated: HashSet<DomainId>) {
        let restored: Vec<_> = self
            .evacuated_domains
            .difference(&evacuated)
            .cloned()
            .collect();
        for target in self.targets.values_mut() {
            if restored.contains(&target.registration.domain)
                && let Some(service) = self.services.get(&target.registration.service)
            {
                target.mark_cold(now, service.cold_start_limit);
            }
        }
        self.evacuated_domains = evacuated;
    }

    /// Records that a request is being sent to a target.
    pub(crate) fn on_request_start(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.on_request_start(now);
            if let Some(service) = self.services.get_mut(&target.registration.service) {
                service.region_totals[target.region].in_flight += 1;
            }
        }
    }

    /// Records how a request at a target ended.
    pub fn on_request_end(&mut self, now: Millis, key: TargetKey, outcome: TargetOutcome) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let Some(service) = self.services.get(&target.registration.service) else {
            return;
        };
        let was_unloaded =
            target.load(now, self.other_vm_load(service, target.region)) <= target.slots();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(service) = self.services.get_mut(&target.registration.service) else {
            return;
        };
        let totals = &mut service.region_totals[target.region];
        totals.in_flight = totals.in_flight.saturating_sub(1);
        if let TargetOutcome::Answered { latency, .. } = outcome
            && was_unloaded
        {
            #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
            let latency_ms = latency.0 as f64;
            service.unloaded_latency_ms = match service.unloaded_latency_ms {
                0.0 => latency_ms,
                mean => mean + (latency_ms - mean) * LATENCY_SAMPLE_WEIGHT,
            };
        }
        target.on_request_end(now, outcome);
    }

    /// Records the load that a target reported.
    pub fn on_load_report(&mut self, now: Millis, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.on_load_report(now, report);
        }
    }

    /// Adjusts the split between regions and refills the tokens for cold targets. To be called a few times a
    /// second.
    pub fn tick(&mut self, now: Millis) {
        self.refill_cold_tokens(now);
        self.adjust_region_splits(now);
    }

    /// Refills the tokens for the requests that this VM may send to cold targets.
    fn refill_cold_tokens(&mut self, now: Millis) {
        let cold_targets: Vec<(TargetKey, bool)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.is_cold(now))
            .map(|(key, t)| {
                (
                    key,
                    t.region == self.own_region && self.is_cold_sender(t.id_hash),
                )
            })
            .collect();
        let sender_count = self.region_vm_hashes.len().clamp(1, MAX_COLD_SENDERS) as u64;
        for (key, is_sender) in cold_targets {
            let target = &mut self.targets[key];
            let limit = self
                .services
                .get(&target.registration.service)
                .map(|s| s.cold_start_limit);
            if let (true, Some(limit)) = (is_sender, limit) {
                let used = ColdStartLimit {
                    rate: limit.rate * COLD_RATE_PERCENT / 100,
                    ..limit
                };
                target.refill_cold_tokens(now, used, sender_count);
            }
        }
    }

    fn adjust_region_splits(&mut self, now: Millis) {
        let ids: Vec<ServiceId> = self.services.keys().cloned().collect();
        for id in ids {
            let Some(service) = self.services.get(&id) else {
                continue;
            };
            let capacities = self.region_capacities(now, service);
            let own_region = self.own_region;
            if let Some(service) = self.services.get_mut(&id) {
                match &mut service.region_split {
                    Some(split) if service.has_requests => split.adjust(now, &capacities),
                    Some(_) | None => {
                        service.region_split = Some(RegionSplit::new(now, own_region, &capacities));
                    }
                }
            }
        }
    }

    /// The targets of a service, empty if it is not known yet.
    fn service(&mut self, id: &ServiceId) -> &mut ServiceTargets {
        let region_count = self.regions.len();
        self.services
            .entry(id.clone())
            .or_insert_with(|| ServiceTargets {
                region_totals: vec![RegionTotals::default(); region_count],
                keys: Vec::new(),
                region_split: None,
                has_requests: false,
                unloaded_latency_ms: 0.0,
                cold_start_limit: ColdStartLimit {
                    rate: 0,
                    duration: Millis::ZERO,
                },
            })
    }

    /// Index and id of a failure domain's region, which is the own one for an unknown domain.
    fn region_of(&self, domain: &DomainId) -> (usize, RegionId) {
        let known = self
            .location
            .domain_regions
            .iter()
            .find(|(d, _)| d == domain);
        let region = known.map_or(&self.location.region, |(_, region)| region);
        let index = self.regions.iter().position(|r| r == region);
        (index.unwrap_or(self.own_region), region.clone())
    }
}
