//! The table of targets.

use std::collections::{HashMap, HashSet};

use slotmap::SlotMap;
use waxwing_records::Registration;
use waxwing_types::{DomainId, Millis, RegionId, ServiceId, TargetId};

use super::state::{Crowd, State};
use super::{ColdStartLimit, LoadReport, TargetKey, TargetOutcome, VmLocation};
use crate::hash::{hash_bytes, mix64};
use crate::mix::{Mix, Room};

/// VMs that send to one cold target. More would exceed its bound with the requests that each holds.
const COLD_SENDERS: usize = 4;
/// Part in percent of a cold target's rate that is used; VMs may disagree for a moment about who sends.
const COLD_PERCENT: u64 = 80;
/// Weight of a new sample in the average work of a service.
const WORK_WEIGHT: f64 = 0.05;

/// The targets of one service in one region.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    targets: u32,
    inflight: u32,
}

/// The targets of one service.
pub(crate) struct Group {
    pub(crate) keys: Vec<TargetKey>,
    pub(crate) mix: Option<Mix>,
    /// Whether a request for the service came. Until then the parts of the regions follow the slots.
    pub(crate) used: bool,
    /// Targets of each region, and requests of this VM at them.
    regions: Vec<Tally>,
    /// Average time in ms from send to answer at a target that has a free slot.
    pub(crate) work: f64,
    pub(crate) cold: ColdStartLimit,
}

/// The targets of all services.
pub struct TargetPool {
    pub(crate) place: VmLocation,
    pub(crate) regions: Vec<RegionId>,
    pub(crate) own_region: usize,
    pub(crate) targets: SlotMap<TargetKey, State>,
    ids: HashMap<TargetId, TargetKey>,
    pub(crate) groups: HashMap<ServiceId, Group>,
    evacuated: HashSet<DomainId>,
    vm: u64,
    /// Hashes of the VMs of the region, with this one.
    vms: Vec<u64>,
}

/// Queries.
impl TargetPool {
    /// Part of a service's requests that goes to a region.
    pub fn region_fraction(&self, service: &ServiceId, region: &RegionId) -> Option<f64> {
        let region = self.regions.iter().position(|r| r == region)?;
        Some(self.groups.get(service)?.mix.as_ref()?.part(region))
    }

    /// Whether a target may get a request now.
    pub(crate) fn is_usable(&self, now: Millis, key: TargetKey) -> bool {
        let Some(target) = self.targets.get(key) else {
            return false;
        };
        target.is_ready()
            && target.responds(now)
            && !self.evacuated.contains(&target.entry.domain)
            && (!target.is_cold(now) || target.has_cold_token())
    }

    /// Whether this VM sends to a target while it is cold.
    fn is_sender(&self, hash: u64) -> bool {
        let own = mix64(self.vm, hash);
        let ahead = self.vms.iter().filter(|vm| mix64(**vm, hash) > own);
        ahead.count() < COLD_SENDERS
    }

    /// What is known of other VMs' requests at the targets of a region.
    pub(crate) fn crowd(&self, group: &Group, region: usize) -> Crowd {
        let tally = group.regions[region];
        #[allow(clippy::cast_precision_loss, reason = "VMs are few")]
        let others = self.vms.len().saturating_sub(1) as f64;
        Crowd {
            others,
            mean: f64::from(tally.inflight) / f64::from(tally.targets.max(1)),
        }
    }

    pub(crate) fn rooms(&self, now: Millis, group: &Group) -> Vec<Room> {
        let mut rooms = vec![Room::default(); self.regions.len()];
        for key in &group.keys {
            let target = &self.targets[*key];
            if self.is_usable(now, *key) {
                let room = &mut rooms[target.region];
                room.slots += target.slots();
                room.load += target.load(now, self.crowd(group, target.region));
            }
        }
        rooms
    }
}

/// Commands.
impl TargetPool {
    /// A pool of a VM without targets.
    pub fn new(vm: &str, place: VmLocation) -> Self {
        let mut regions = vec![place.region.clone()];
        for (_, region) in &place.domain_regions {
            if !regions.contains(region) {
                regions.push(region.clone());
            }
        }
        // The same order on every VM.
        regions.sort_unstable();
        let own_region = regions.iter().position(|r| *r == place.region);
        let vm = hash_bytes(vm.as_bytes());
        Self {
            own_region: own_region.unwrap_or_default(),
            regions,
            place,
            targets: SlotMap::with_key(),
            ids: HashMap::new(),
            groups: HashMap::new(),
            evacuated: HashSet::new(),
            vm,
            vms: vec![vm],
        }
    }

    /// Adopts the VMs of the region, with this one. They send to the same targets and share the sends to cold
    /// ones.
    pub fn set_region_vms<'a>(&mut self, vms: impl Iterator<Item = &'a str>) {
        self.vms = vms.map(|vm| hash_bytes(vm.as_bytes())).collect();
    }

    /// Adopts how the cold targets of a service are spared.
    pub fn set_cold_start_limit(&mut self, service: &ServiceId, rule: ColdStartLimit) {
        self.group(service).cold = rule;
    }

    /// Adopts an entry. One of an earlier process of the target is ignored.
    pub fn upsert(&mut self, now: Millis, entry: Registration) {
        if let Some(key) = self.ids.get(&entry.id).copied() {
            let target = &mut self.targets[key];
            if entry.incarnation < target.entry.incarnation {
                return;
            }
            let same = entry.incarnation == target.entry.incarnation
                && entry.address == target.entry.address
                && entry.service == target.entry.service
                && entry.domain == target.entry.domain;
            if same {
                target.update(now, entry);
                return;
            }
            self.remove(&entry.id);
        }
        let region = self.region_of(&entry.domain);
        let place = region.0;
        let near = entry.domain == self.place.domain;
        let hash = hash_bytes(entry.id.as_str().as_bytes());
        let service = entry.service.clone();
        let id = entry.id.clone();
        let target = State::new(now, entry, region, near, hash);
        let key = self.targets.insert(target);
        self.ids.insert(id, key);
        let group = self.group(&service);
        group.keys.push(key);
        group.regions[place].targets += 1;
    }

    /// Forgets a target, whose entry is gone.
    pub fn remove(&mut self, id: &TargetId) {
        let Some(key) = self.ids.remove(id) else {
            return;
        };
        if let Some(target) = self.targets.remove(key)
            && let Some(group) = self.groups.get_mut(&target.entry.service)
        {
            group.keys.retain(|k| *k != key);
            let tally = &mut group.regions[target.region];
            tally.targets = tally.targets.saturating_sub(1);
            tally.inflight = tally.inflight.saturating_sub(target.inflight);
        }
    }

    /// Names of the targets that a complete list lacks.
    pub fn ids_not_in(&self, listed: &HashSet<TargetId>) -> Vec<TargetId> {
        let ids = self.ids.keys().filter(|id| !listed.contains(*id));
        ids.cloned().collect()
    }

    /// Adopts the failure domains that are evacuated. The targets of one that is no longer evacuated
    /// may have become cold.
    pub fn set_evacuated_domains(&mut self, now: Millis, evacuated: HashSet<DomainId>) {
        let back: Vec<_> = self.evacuated.difference(&evacuated).cloned().collect();
        for target in self.targets.values_mut() {
            if back.contains(&target.entry.domain)
                && let Some(group) = self.groups.get(&target.entry.service)
            {
                target.chill(now, group.cold);
            }
        }
        self.evacuated = evacuated;
    }

    /// A request begins at a target.
    pub(crate) fn begin(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.begin(now);
            if let Some(group) = self.groups.get_mut(&target.entry.service) {
                group.regions[target.region].inflight += 1;
            }
        }
    }

    /// A request at a target ended.
    pub fn on_request_end(&mut self, now: Millis, key: TargetKey, ended: TargetOutcome) {
        let Some(target) = self.targets.get(key) else {
            return;
        };
        let Some(group) = self.groups.get(&target.entry.service) else {
            return;
        };
        let free = target.load(now, self.crowd(group, target.region)) <= target.slots();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&target.entry.service) else {
            return;
        };
        let tally = &mut group.regions[target.region];
        tally.inflight = tally.inflight.saturating_sub(1);
        if let TargetOutcome::Answered { latency, .. } = ended
            && free
        {
            #[allow(clippy::cast_precision_loss, reason = "latencies are short")]
            let latency = latency.0 as f64;
            group.work = match group.work {
                0.0 => latency,
                former => former + (latency - former) * WORK_WEIGHT,
            };
        }
        target.ended(now, ended);
    }

    /// A target reported its load.
    pub fn on_load_report(&mut self, now: Millis, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.reported(now, report);
        }
    }

    /// Moves the parts of the regions and counts the sends to cold targets. To be called a few times a
    /// second.
    pub fn tick(&mut self, now: Millis) {
        self.refill_cold(now);
        self.adjust_mixes(now);
    }

    /// Counts the requests that this VM may send to cold targets.
    fn refill_cold(&mut self, now: Millis) {
        let senders: Vec<(TargetKey, bool)> = self
            .targets
            .iter()
            .filter(|(_, t)| t.is_cold(now))
            .map(|(key, t)| (key, t.region == self.own_region && self.is_sender(t.hash)))
            .collect();
        let count = self.vms.len().clamp(1, COLD_SENDERS) as u64;
        for (key, sends) in senders {
            let target = &mut self.targets[key];
            let rule = self.groups.get(&target.entry.service).map(|g| g.cold);
            if let (true, Some(rule)) = (sends, rule) {
                let used = ColdStartLimit {
                    rate: rule.rate * COLD_PERCENT / 100,
                    ..rule
                };
                target.refill(now, used, count);
            }
        }
    }

    fn adjust_mixes(&mut self, now: Millis) {
        let services: Vec<ServiceId> = self.groups.keys().cloned().collect();
        for service in services {
            let Some(group) = self.groups.get(&service) else {
                continue;
            };
            let rooms = self.rooms(now, group);
            let own = self.own_region;
            if let Some(group) = self.groups.get_mut(&service) {
                match &mut group.mix {
                    Some(mix) if group.used => mix.adjust(now, &rooms),
                    Some(_) | None => group.mix = Some(Mix::new(now, own, &rooms)),
                }
            }
        }
    }

    fn group(&mut self, service: &ServiceId) -> &mut Group {
        let regions = self.regions.len();
        self.groups.entry(service.clone()).or_insert_with(|| Group {
            regions: vec![Tally::default(); regions],
            keys: Vec::new(),
            mix: None,
            used: false,
            work: 0.0,
            cold: ColdStartLimit {
                rate: 0,
                duration: Millis::ZERO,
            },
        })
    }

    fn region_of(&self, domain: &DomainId) -> (usize, RegionId) {
        let known = self.place.domain_regions.iter().find(|(d, _)| d == domain);
        let region = known.map_or(&self.place.region, |(_, region)| region);
        let index = self.regions.iter().position(|r| r == region);
        (index.unwrap_or(self.own_region), region.clone())
    }
}
