use std::collections::BTreeMap;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{Digest, GroupId};

/// Steering of caller blocks. Each block holds a small group key; a group is one ordered list of
/// availability zones, kept once however many blocks use it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::Steering;
///
/// let mut steering = Steering::default();
/// let block = "10.0.0.0/8".parse().unwrap();
/// assert!(steering.insert(block, &["nasr".to_owned()]));
/// assert_eq!(steering.zones(block), Some(&["nasr".to_owned()][..]));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steering {
    groups: Vec<Vec<String>>,
    blocks: BTreeMap<IpNet, GroupId>,
    digest: Digest,
}

impl Steering {
    /// Steers a block to zones, the preferred one first. Returns false when there are already as
    /// many different lists of zones as group keys.
    pub fn insert(&mut self, block: IpNet, zones: &[String]) -> bool {
        let Some(group) = self.group(zones) else {
            return false;
        };
        self.remove(block);
        self.blocks.insert(block.trunc(), group);
        self.toggle(block.trunc(), zones);
        true
    }

    /// Removes the steering of a block. Returns false when the block has none.
    pub fn remove(&mut self, block: IpNet) -> bool {
        let Some(group) = self.blocks.remove(&block.trunc()) else {
            return false;
        };
        let zones = self.groups[group.index()].clone();
        self.toggle(block.trunc(), &zones);
        true
    }

    /// Returns the zones that exactly this block is steered to.
    pub fn zones(&self, block: IpNet) -> Option<&[String]> {
        let group = self.blocks.get(&block.trunc())?;
        Some(&self.groups[group.index()])
    }

    /// Returns every block with its group, in the order of addresses.
    pub fn blocks(&self) -> impl Iterator<Item = (IpNet, GroupId)> + '_ {
        self.blocks.iter().map(|(block, group)| (*block, *group))
    }

    /// Returns the lists of zones by group key.
    pub fn groups(&self) -> &[Vec<String>] {
        &self.groups
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is steered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns a hash over the blocks and their zones, whatever order they were added in.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    fn group(&mut self, zones: &[String]) -> Option<GroupId> {
        let known = self.groups.iter().position(|group| group == zones);
        let position = known.unwrap_or(self.groups.len());
        let group = GroupId(u16::try_from(position).ok()?);
        if known.is_none() {
            self.groups.push(zones.to_vec());
        }
        Some(group)
    }

    /// Adds or takes away one block in the digest; doing it twice changes nothing.
    fn toggle(&mut self, block: IpNet, zones: &[String]) {
        let entry = rmp_serde::to_vec(&(block, zones)).expect("plain data encodes");
        let hash = Digest::of(&[&entry]);
        for (byte, other) in self.digest.0.iter_mut().zip(hash.0) {
            *byte ^= other;
        }
    }
}
