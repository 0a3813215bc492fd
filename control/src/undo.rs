use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use ipnet::IpNet;
use laburnumdeal_model::{Change, Configuration, Drain, Steering, Target, Version};
use serde::{Deserialize, Serialize};

/// Versions that can be reverted to.
const VERSIONS_KEPT: usize = 1000;
/// Parts of configurations that are kept to revert to earlier versions.
const PARTS_KEPT: usize = 200_000;

/// Inverses of the newest changes. It takes memory by what changed, never by the whole
/// configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UndoHistory {
    inverses: VecDeque<Arc<Inverse>>,
    parts: usize,
}

/// What brings back the version before a change.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Inverse {
    before: Version,
    parts: Vec<Part>,
}

/// One part of a configuration as it was; `None` means that it was absent.
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
    /// Keeps what brings `before` back once `change` is made; `after` is the outcome of a revert.
    pub fn push(&mut self, before: &Configuration, change: &Change, after: &Configuration) {
        let parts = match change {
            Change::Revert { .. } => differences(before, after),
            change => touched(before, change),
        };
        self.parts += parts.len();
        self.inverses.push_back(Arc::new(Inverse {
            before: before.version,
            parts,
        }));
        while self.inverses.len() > VERSIONS_KEPT || self.parts > PARTS_KEPT {
            let Some(oldest) = self.inverses.pop_front() else {
                break;
            };
            self.parts -= oldest.parts.len();
        }
    }

    /// Returns the oldest version that can be brought back.
    pub fn oldest(&self, current: Version) -> Version {
        self.inverses.front().map_or(current, |first| first.before)
    }

    /// Returns the contents of an earlier version, still numbered as `current`.
    pub fn contents(&self, current: &Configuration, to: Version) -> Option<Configuration> {
        if to > current.version || to < self.oldest(current.version) {
            return None;
        }
        let mut configuration = current.clone();
        let later = self.inverses.iter().rev();
        for inverse in later.take_while(|inverse| inverse.before >= to) {
            for part in &inverse.parts {
                put_back(&mut configuration, part);
            }
        }
        Some(configuration)
    }
}

fn touched(before: &Configuration, change: &Change) -> Vec<Part> {
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

fn differences(before: &Configuration, after: &Configuration) -> Vec<Part> {
    let mut parts = Vec::new();
    for (key, value) in changed(&before.allowed, &after.allowed) {
        parts.push(Part::Allowed(key, value));
    }
    for (key, value) in changed(&before.drains, &after.drains) {
        parts.push(Part::Drain(key, value));
    }
    for (key, value) in changed(&before.shift_caps, &after.shift_caps) {
        parts.push(Part::ShiftCap(key, value));
    }
    for (key, value) in changed(&before.region_caps, &after.region_caps) {
        parts.push(Part::RegionCap(key, value));
    }
    for (key, value) in changed(&before.link_caps, &after.link_caps) {
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

/// Returns the keys whose values differ, with the values that they had before.
fn changed<K: Ord + Clone, V: PartialEq + Clone>(
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
) -> Vec<(K, Option<V>)> {
    let keys: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter(|key| before.get(key) != after.get(key))
        .map(|key| (key.clone(), before.get(key).cloned()))
        .collect()
}

fn put_back(configuration: &mut Configuration, part: &Part) {
    match part {
        Part::Allowed(key, value) => set(&mut configuration.allowed, key, value),
        Part::Drain(key, value) => set(&mut configuration.drains, key, value),
        Part::ShiftCap(key, value) => set(&mut configuration.shift_caps, key, value),
        Part::RegionCap(key, value) => set(&mut configuration.region_caps, key, value),
        Part::LinkCap(key, value) => set(&mut configuration.link_caps, key, value),
        Part::Steering(block, zones) => {
            let steering: &mut Steering = Arc::make_mut(&mut configuration.steering);
            match zones {
                Some(zones) => steering.insert(*block, zones),
                None => steering.remove(*block),
            };
        }
    }
}

fn set<K: Ord + Clone, V: Clone>(map: &mut BTreeMap<K, V>, key: &K, value: &Option<V>) {
    match value {
        Some(value) => map.insert(key.clone(), value.clone()),
        None => map.remove(key),
    };
}
