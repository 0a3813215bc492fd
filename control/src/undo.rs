use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use ipnet::IpNet;
use laburnumdeal_model::{Change, Configuration, Drain, Steering, Target, Version};
use serde::{Deserialize, Serialize};

/// Maximum number of earlier versions that can be reverted to.
const MAX_VERSIONS: usize = 1000;
/// Maximum number of configuration parts kept for reverts, over all versions.
const MAX_PARTS: usize = 200_000;

/// Inverses of the most recent changes. Memory grows with the size of the changes, not with the
/// size of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UndoHistory {
    inverses: VecDeque<Arc<Inverse>>,
    parts: usize,
}

/// Inverse of a change: the changed parts as they were in version `before`.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Inverse {
    before: Version,
    parts: Vec<Part>,
}

/// Key of one part of a configuration with its earlier value; `None` if the part did not exist.
/// Items are not among the parts, so a revert does not restore them.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Part {
    Allowed(String, Option<BTreeSet<String>>),
    Drain(Target, Option<Drain>),
    ShiftCap(String, Option<u64>),
    RegionCap(String, Option<u64>),
    LinkCap((String, String), Option<u64>),
    Steering(IpNet, Option<Vec<String>>),
}

impl UndoHistory {
    /// Records the inverse of a change to `before`. The inverse of a revert is computed from
    /// `after`, the configuration that it produced.
    pub fn push(&mut self, before: &Configuration, change: &Change, after: &Configuration) {
        let parts = match change {
            Change::Revert { .. } => changed_parts(before, after),
            change => affected_parts(before, change),
        };
        self.parts += parts.len();
        self.inverses.push_back(Arc::new(Inverse {
            before: before.version,
            parts,
        }));
        while self.inverses.len() > MAX_VERSIONS || self.parts > MAX_PARTS {
            let Some(oldest) = self.inverses.pop_front() else {
                break;
            };
            self.parts -= oldest.parts.len();
        }
    }

    /// Returns the oldest version that can be reverted to.
    pub fn oldest_version(&self, current: Version) -> Version {
        self.inverses.front().map_or(current, |first| first.before)
    }

    /// Returns the contents of version `to` with the version number of `current`, or `None` if the
    /// version is not kept.
    pub fn configuration_at(&self, current: &Configuration, to: Version) -> Option<Configuration> {
        if to > current.version || to < self.oldest_version(current.version) {
            return None;
        }
        let mut configuration = current.clone();
        let later = self.inverses.iter().rev();
        for inverse in later.take_while(|inverse| inverse.before >= to) {
            for part in &inverse.parts {
                restore_part(&mut configuration, part);
            }
        }
        Some(configuration)
    }
}

/// Returns the parts that a change affects, as they are in `before`.
fn affected_parts(before: &Configuration, change: &Change) -> Vec<Part> {
    match change {
        Change::Allow { service, .. } => {
            let earlier = before.allowed.get(service).cloned();
            vec![Part::Allowed(service.clone(), earlier)]
        }
        Change::Drain { target, .. }
        | Change::Undrain { target }
        | Change::DrainStep { target, .. } => {
            let earlier = before.drains.get(target).cloned();
            vec![Part::Drain(target.clone(), earlier)]
        }
        Change::CapShift { service, .. } => {
            let earlier = before.shift_caps.get(service).copied();
            vec![Part::ShiftCap(service.clone(), earlier)]
        }
        Change::CapRegion { region, .. } => {
            let earlier = before.region_caps.get(region).copied();
            vec![Part::RegionCap(region.clone(), earlier)]
        }
        Change::CapLink { from, to, .. } => {
            let link = (from.clone(), to.clone());
            let earlier = before.link_caps.get(&link).copied();
            vec![Part::LinkCap(link, earlier)]
        }
        Change::Steer { blocks, .. } => {
            let parts = blocks.iter().map(|block| steering_part(before, *block));
            parts.collect()
        }
        Change::Unsteer { block } => vec![steering_part(before, *block)],
        Change::Items { .. } | Change::Revert { .. } => Vec::new(),
    }
}

fn steering_part(before: &Configuration, block: IpNet) -> Part {
    let zones = before.steering.zones(block).map(<[String]>::to_vec);
    Part::Steering(block, zones)
}

/// Returns the parts that differ between two configurations, as they are in `before`.
fn changed_parts(before: &Configuration, after: &Configuration) -> Vec<Part> {
    let mut parts = Vec::new();
    for (key, value) in changed_values(&before.allowed, &after.allowed) {
        parts.push(Part::Allowed(key, value));
    }
    for (key, value) in changed_values(&before.drains, &after.drains) {
        parts.push(Part::Drain(key, value));
    }
    for (key, value) in changed_values(&before.shift_caps, &after.shift_caps) {
        parts.push(Part::ShiftCap(key, value));
    }
    for (key, value) in changed_values(&before.region_caps, &after.region_caps) {
        parts.push(Part::RegionCap(key, value));
    }
    for (key, value) in changed_values(&before.link_caps, &after.link_caps) {
        parts.push(Part::LinkCap(key, value));
    }
    if before.steering.digest() != after.steering.digest() {
        let (earlier, later) = (&before.steering, &after.steering);
        let blocks = earlier
            .blocks()
            .chain(later.blocks())
            .map(|(block, _)| block);
        let differing = blocks.filter(|block| earlier.zones(*block) != later.zones(*block));
        let differing: BTreeSet<IpNet> = differing.collect();
        parts.extend(
            differing
                .into_iter()
                .map(|block| steering_part(before, block)),
        );
    }
    parts
}

/// Returns the keys whose values differ, with their values in `before`.
fn changed_values<K: Ord + Clone, V: PartialEq + Clone>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
) -> Vec<(K, Option<V>)> {
    let keys: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| (key.clone(), before.get(key).cloned()))
        .collect()
}

fn restore_part(configuration: &mut Configuration, part: &Part) {
    match part {
        Part::Allowed(key, value) => set_or_remove(&mut configuration.allowed, key, value),
        Part::Drain(key, value) => set_or_remove(&mut configuration.drains, key, value),
        Part::ShiftCap(key, value) => set_or_remove(&mut configuration.shift_caps, key, value),
        Part::RegionCap(key, value) => set_or_remove(&mut configuration.region_caps, key, value),
        Part::LinkCap(key, value) => set_or_remove(&mut configuration.link_caps, key, value),
        Part::Steering(block, zones) => {
            let steering: &mut Steering = Arc::make_mut(&mut configuration.steering);
            match zones {
                Some(zones) => steering.insert(*block, zones),
                None => steering.remove(*block),
            };
        }
    }
}

fn set_or_remove<K: Ord + Clone, V: Clone>(map: &mut BTreeMap<K, V>, key: &K, value: &Option<V>) {
    match value {
        Some(value) => map.insert(key.clone(), value.clone()),
        None => map.remove(key),
    };
}
