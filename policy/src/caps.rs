use laburnumdeal_model::{Configuration, InstanceId, Topology};
use twox_hash::XxHash64;

use crate::CapKey;

/// Caps of one version of the configuration, and their division into shares.
#[derive(Clone, Copy, Debug)]
pub struct Caps<'a> {
    configuration: &'a Configuration,
    topology: &'a Topology,
}

impl<'a> Caps<'a> {
    /// Creates a view of the caps of a configuration.
    pub fn new(configuration: &'a Configuration, topology: &'a Topology) -> Self {
        Self {
            configuration,
            topology,
        }
    }

    /// Returns a cap, or `None` when there is none.
    pub fn cap_per_s(&self, key: CapKey) -> Option<u64> {
        let Self {
            configuration,
            topology,
        } = self;
        match key {
            CapKey::Region(id) => {
                let region = topology.region(id);
                let cap = configuration.region_caps.get(&region.name);
                Some(region.intake_per_s.min(cap.copied().unwrap_or(u64::MAX)))
            }
            CapKey::Link(from, to) => {
                let names = (
                    topology.region(from).name.clone(),
                    topology.region(to).name.clone(),
                );
                let cap = configuration.link_caps.get(&names).copied();
                let links = topology.links.iter();
                let matching = links.filter(|link| link.from == from && link.to == to);
                matching.map(|link| link.bytes_per_s).chain(cap).min()
            }
            CapKey::Shift(id) => {
                let service = &topology.service(id).name;
                configuration.shift_caps.get(service).copied()
            }
        }
    }

    /// Returns an instance's share: the cap divided by the number of instances that may use it. The
    /// remainder is distributed in units of one.
    pub fn share_per_s(&self, key: CapKey, instance: InstanceId) -> u64 {
        let Some(cap_per_s) = self.cap_per_s(key) else {
            return 0;
        };
        let users: Vec<InstanceId> = Self::users(key, self.topology).collect();
        let Some(position) = users.iter().position(|user| *user == instance) else {
            return 0;
        };
        let count = users.len() as u64;
        let rotated = (position as u64 + rotation_of(key) % count) % count;
        cap_per_s / count + u64::from(rotated < cap_per_s % count)
    }

    /// Returns the configured instances that may use a cap, in key order.
    pub fn users(key: CapKey, topology: &Topology) -> impl Iterator<Item = InstanceId> + '_ {
        topology.instance_ids().filter(move |id| {
            let region = topology.region_of(topology.instance(*id).zone);
            match key {
                CapKey::Region(of) | CapKey::Link(of, _) => region == of,
                CapKey::Shift(_) => true,
            }
        })
    }

    /// Returns the caps that an instance may use, in ascending order.
    pub fn keys_of(instance: InstanceId, topology: &Topology) -> Vec<CapKey> {
        let my_region = topology.region_of(topology.instance(instance).zone);
        let region_ids = (0..topology.regions.len()).map(|index| (index as u8).into());
        let links = region_ids
            .filter(|to| *to != my_region)
            .map(|to| CapKey::Link(my_region, to));
        let shifts = topology.service_ids().map(CapKey::Shift);
        let mut keys: Vec<CapKey> = [CapKey::Region(my_region)]
            .into_iter()
            .chain(links)
            .chain(shifts)
            .collect();
        keys.sort();
        keys
    }
}

/// Rotates the order of the instances by cap, so that the remainders of all caps don't go to the
/// same instances.
fn rotation_of(key: CapKey) -> u64 {
    XxHash64::oneshot(0, key.to_string().as_bytes())
}
