//! The known targets, by service, and the split of each service's requests between the regions.

use std::collections::{HashMap, HashSet};

use slotmap::SlotMap;
use waxwing_records::Registration;
use waxwing_types::{DomainId, Incarnation, Millis, RegionId, ServiceId, TargetId};

use super::cold_start::{ColdStartTerms, SenderLists};
use super::continuity::UnsentAlerts;
use super::notice::NoticeMemory;
use super::tracked::{OtherVmLoadEstimator, TrackedTarget};
use super::{ColdStartLimit, LoadReport, TargetKey, TargetOutcome, Topology};
use crate::hash::hash_bytes;
use crate::rank_admission::RankAdmission;
use crate::region_split::{RegionCapacity, RegionSplit};

/// Weight (0 to 1) of a new sample in the moving average of a service's unloaded latency.
const LATENCY_SAMPLE_WEIGHT: f64 = 0.05;

/// Totals of one service's targets in one region.
#[derive(Clone, Copy, Debug, Default)]
struct RegionTotals {
    /// Number of registered targets, whether or not they are usable.
    target_count: u32,
    /// Requests of this VM that are in flight at these targets.
    in_flight: u32,
}

/// The targets of one service.
pub(crate) struct ServiceTargets {
    pub(crate) keys: Vec<TargetKey>,
    /// `None` before the first [`TargetPool::tick`].
    pub(crate) region_split: Option<RegionSplit>,
    /// Whether a request for the service has ever arrived. Until then, each tick computes a new region split
    /// from the slots.
    pub(crate) has_received_request: bool,
    /// Totals of the service's targets, by region index.
    region_totals: Vec<RegionTotals>,
    /// Average latency in ms of requests that ended while their target had no queue. 0 before the first
    /// response.
    pub(crate) unloaded_latency_ms: f64,
    pub(crate) cold_start_limit: ColdStartLimit,
    pub(crate) rank_admission: RankAdmission,
}

/// The targets of all services.
pub struct TargetPool {
    pub(crate) topology: Topology,
    /// All regions, sorted. A region index is a position in this list.
    pub(crate) regions: Vec<RegionId>,
    pub(crate) own_region_index: usize,
    pub(crate) targets: SlotMap<TargetKey, TrackedTarget>,
    pub(super) keys_by_id: HashMap<TargetId, TargetKey>,
    pub(super) keys_by_process: HashMap<u32, TargetKey>,
    pub(crate) services: HashMap<ServiceId, ServiceTargets>,
    pub(super) notice_memory: NoticeMemory,
    evacuated_domains: HashSet<DomainId>,
    /// Hash of this VM's id.
    pub(super) own_vm_hash: u64,
    /// Hashes of the ids of all registered VMs in the region.
    pub(super) region_vm_hashes: Vec<u64>,
    pub(super) sender_lists: SenderLists,
    /// Whether this VM is about to leave.
    pub(super) is_leaving: bool,
    pub(super) cold_start_terms: ColdStartTerms,
    pub(super) unsent_alerts: UnsentAlerts,
}

/// Queries.
impl TargetPool {
    /// Fraction of a service's requests that this VM sends to a region; `None` before the first
    /// [`Self::tick`].
    pub fn region_fraction(&self, service: &ServiceId, region: &RegionId) -> Option<f64> {
        let region_index = self.regions.iter().position(|r| r == region)?;
        Some(
            self.services
                .get(service)?
                .region_split
                .as_ref()?
                .fraction(region_index),
        )
    }

    /// Incarnation of a known target.
    pub fn incarnation(&self, id: &TargetId) -> Option<Incarnation> {
        let key = self.keys_by_id.get(id)?;
        Some(self.targets.get(*key)?.registration.incarnation)
    }

    /// Mean latency of the requests for a service that found no queue, `None` before the first response.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "latencies are short"
    )]
    pub fn unloaded_latency(&self, service: &ServiceId) -> Option<Millis> {
        let mean = self.services.get(service)?.unloaded_latency_ms;
        (mean > 0.0).then(|| Millis(mean.ceil() as u64))
    }

    /// Whether a target may get a request now. The target must be ready (by its registration and by what it said
    /// itself), must not be ejected (after failures), and must not be in an evacuated failure domain. If the target is
    /// cold, this VM also needs a cold start token for the target.
    pub(crate) fn is_usable(&self, now: Millis, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        target.is_ready()
            && target.notices.allows_requests(now)
            && target.is_not_ejected(now)
            && !self.is_evacuated(target)
            && target.is_warm_or_has_token(now)
    }

    pub(super) fn is_evacuated(&self, target: &TrackedTarget) -> bool {
        self.evacuated_domains.contains(&target.registration.domain)
    }

    /// Returns an estimator for the requests of other VMs at a service's targets in a region. The estimator
    /// assumes that each other VM sends about as many requests to these targets as this VM does.
    pub(crate) fn other_vm_load_estimator(
        &self,
        service: &ServiceTargets,
        region_index: usize,
    ) -> OtherVmLoadEstimator {
        let totals = service.region_totals[region_index];
        #[allow(clippy::cast_precision_loss, reason = "VMs are few")]
        let other_vm_count = self.other_vms_in_region().count() as f64;
        OtherVmLoadEstimator {
            other_vm_count,
            mean_own_in_flight: f64::from(totals.in_flight) / f64::from(totals.target_count.max(1)),
            unloaded_latency_ms: service.unloaded_latency_ms,
        }
    }

    fn other_vms_in_region(&self) -> impl Iterator<Item = &u64> {
        let vms = self.region_vm_hashes.iter();
        vms.filter(|vm| **vm != self.own_vm_hash)
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
                let capacity = &mut capacities[target.region_index];
                capacity.slots += target.slots();
                if target.is_load_known(now) {
                    let estimator = self.other_vm_load_estimator(service, target.region_index);
                    capacity.known_slots += target.slots();
                    capacity.known_load += target.load(now, estimator);
                }
            }
        }
        capacities
    }
}

/// Commands.
impl TargetPool {
    /// Creates the pool of a VM, without targets.
    pub fn new(vm: &str, topology: Topology) -> Self {
        let mut regions = vec![topology.own_region.clone()];
        for (_, region) in &topology.domain_regions {
            if !regions.contains(region) {
                regions.push(region.clone());
            }
        }
        // The order of the regions determines which region an affinity key selects. With sorted regions, all
        // VMs of a region select the same region for a key.
        regions.sort_unstable();
        let own_region_index = regions.iter().position(|r| *r == topology.own_region);
        let own_vm_hash = hash_bytes(vm.as_bytes());
        Self {
            own_region_index: own_region_index.unwrap_or_default(),
            regions,
            topology,
            targets: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            keys_by_process: HashMap::new(),
            services: HashMap::new(),
            notice_memory: NoticeMemory::default(),
            evacuated_domains: HashSet::new(),
            own_vm_hash,
            region_vm_hashes: vec![own_vm_hash],
            sender_lists: SenderLists::default(),
            is_leaving: false,
            cold_start_terms: ColdStartTerms::default(),
            unsent_alerts: UnsentAlerts::default(),
        }
    }

    /// Sets the ids of all VMs in the region that are registered. These VMs and this one send requests to the same targets, and
    /// share each cold target's limit on requests per time. This VM sends to cold targets once it is registered itself.
    pub fn set_region_vms<'a>(&mut self, now: Millis, vms: impl Iterator<Item = &'a str>) {
        let list: Vec<u64> = vms.map(|vm| hash_bytes(vm.as_bytes())).collect();
        if list != self.region_vm_hashes {
            let replaced = std::mem::replace(&mut self.region_vm_hashes, list);
            self.sender_lists.replace(now, replaced);
            self.assign_cold_targets(now);
        }
    }

    /// Sets the limit on requests to cold targets of a service.
    pub fn set_cold_start_limit(&mut self, service: &ServiceId, limit: ColdStartLimit) {
        self.service_or_insert(service).cold_start_limit = limit;
    }

    /// Adds or updates a target. The registration of an earlier process of the target is ignored; that of a
    /// later process replaces the target.
    pub fn upsert(&mut self, now: Millis, registration: Registration) {
        let mut former = None;
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
            former = self.take(now, &registration.id);
        }
        let region_index_and_id = self.region_index_and_id_of(&registration.domain);
        let region_index = region_index_and_id.0;
        let in_own_domain = registration.domain == self.topology.own_domain;
        let id_hash = hash_bytes(registration.id.as_str().as_bytes());
        let service_id = registration.service.clone();
        let id = registration.id.clone();
        let notices = self
            .notice_memory
            .recall(now, &id, registration.incarnation);
        let mut target = TrackedTarget::new(
            now,
            registration,
            region_index_and_id,
            in_own_domain,
            id_hash,
        );
        target.notices = notices;
        if let Some(former) = former {
            target.follow(now, former);
        }
        let process = target.process();
        let key = self.targets.insert(target);
        self.keys_by_id.insert(id, key);
        self.keys_by_process.insert(process, key);
        let service = self.service_or_insert(&service_id);
        service.keys.push(key);
        service.region_totals[region_index].target_count += 1;
    }

    /// Removes a target whose registration was deleted. Its notices are remembered, because the registration of the same
    /// process may be listed again.
    pub fn remove(&mut self, now: Millis, id: &TargetId) {
        self.take(now, id);
    }

    fn take(&mut self, now: Millis, id: &TargetId) -> Option<TrackedTarget> {
        let key = self.keys_by_id.remove(id)?;
        let target = self.targets.remove(key)?;
        self.keys_by_process.remove(&target.process());
        let incarnation = target.registration.incarnation;
        self.notice_memory
            .remember(now, id, incarnation, target.notices);
        if let Some(service) = self.services.get_mut(&target.registration.service) {
            service.keys.retain(|k| *k != key);
            let totals = &mut service.region_totals[target.region_index];
            totals.target_count = totals.target_count.saturating_sub(1);
            totals.in_flight = totals.in_flight.saturating_sub(target.in_flight);
        }
        Some(target)
    }

    /// Ids of the known targets that a complete list lacks.
    pub fn ids_not_in(&self, listed: &HashSet<TargetId>) -> Vec<TargetId> {
        let ids = self.keys_by_id.keys().filter(|id| !listed.contains(*id));
        ids.cloned().collect()
    }

    /// Sets the evacuated failure domains, whose targets get no requests. Targets of a domain that is no
    /// longer evacuated are marked as cold, since they may have become cold during the evacuation.
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
                let cold_time = service.cold_start_limit.cold_time;
                target.cold_start.extend_without_token(now, cold_time);
            }
        }
        self.evacuated_domains = evacuated;
        self.assign_cold_targets(now);
    }

    /// Records that a request is being sent to a target.
    pub(crate) fn on_request_start(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.on_request_start(now);
            if let Some(service) = self.services.get_mut(&target.registration.service) {
                service.region_totals[target.region_index].in_flight += 1;
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
        let was_unloaded = target.load(
            now,
            self.other_vm_load_estimator(service, target.region_index),
        ) <= target.slots();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(service) = self.services.get_mut(&target.registration.service) else {
            return;
        };
        let totals = &mut service.region_totals[target.region_index];
        totals.in_flight = totals.in_flight.saturating_sub(1);
        if let TargetOutcome::Answered { latency, .. } = outcome
            && was_unloaded
        {
            #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
            let latency_ms = latency.0.max(1) as f64;
            service.unloaded_latency_ms = match service.unloaded_latency_ms {
                0.0 => latency_ms,
                mean => mean + (latency_ms - mean) * LATENCY_SAMPLE_WEIGHT,
            };
        }
        target.on_request_end(now, outcome);
        if matches!(
            outcome,
            TargetOutcome::ConnectFailed
                | TargetOutcome::ConnectionBroken
                | TargetOutcome::TimedOut
        ) {
            self.doubt(now, key);
        }
    }

    /// Records the load that a target reported.
    pub fn on_load_report(&mut self, now: Millis, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.on_load_report(now, report);
        }
    }

    /// Determines the cold targets of this VM and adjusts the region splits. To be called a few times per second.
    pub fn tick(&mut self, now: Millis) {
        self.assign_cold_targets(now);
        self.adjust_region_splits(now);
    }

    fn adjust_region_splits(&mut self, now: Millis) {
        let ids: Vec<ServiceId> = self.services.keys().cloned().collect();
        for id in ids {
            let Some(service) = self.services.get(&id) else {
                continue;
            };
            let capacities = self.region_capacities(now, service);
            let own_region_index = self.own_region_index;
            if let Some(service) = self.services.get_mut(&id) {
                match &mut service.region_split {
                    Some(split) if service.has_received_request => split.adjust(now, &capacities),
                    Some(_) | None => {
                        service.region_split =
                            Some(RegionSplit::new(now, own_region_index, &capacities));
                    }
                }
            }
        }
    }

    /// Returns the targets of a service. A service that is not known yet is inserted without targets.
    fn service_or_insert(&mut self, id: &ServiceId) -> &mut ServiceTargets {
        let region_count = self.regions.len();
        self.services
            .entry(id.clone())
            .or_insert_with(|| ServiceTargets {
                region_totals: vec![RegionTotals::default(); region_count],
                keys: Vec::new(),
                region_split: None,
                has_received_request: false,
                unloaded_latency_ms: 0.0,
                cold_start_limit: ColdStartLimit {
                    requests_per_1000_s: 0,
                    cold_time: Millis::ZERO,
                },
                rank_admission: RankAdmission::default(),
            })
    }

    /// Index and id of a failure domain's region. An unknown domain counts as part of the own region.
    fn region_index_and_id_of(&self, domain: &DomainId) -> (usize, RegionId) {
        let known = self
            .topology
            .domain_regions
            .iter()
            .find(|(d, _)| d == domain);
        let region = known.map_or(&self.topology.own_region, |(_, region)| region);
        let index = self.regions.iter().position(|r| r == region);
        (index.unwrap_or(self.own_region_index), region.clone())
    }
}
