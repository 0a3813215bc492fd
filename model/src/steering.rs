use std::collections::BTreeMap;
use std::sync::Arc;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{Digest, GroupId};

/// Availability zones that CIDR blocks of caller addresses are steered to. Each block refers by a
/// small key to a group, which is an ordered list of availability zones and is stored once for all
/// blocks that use it. Clones share every section that neither has changed.
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
    sections: BTreeMap<SectionId, Arc<Section>>,
    len: usize,
    digest: Digest,
}

/// Key of a section: whether its blocks are IPv6, and the first two bytes of their addresses.
type SectionId = (bool, u16);

/// Blocks of a section with their groups.
type Section = BTreeMap<IpNet, GroupId>;

impl Steering {
    /// Steers a block to zones, the preferred one first. Returns false if the list of zones is new
    /// and no group key is left for it.
    pub fn insert(&mut self, block: IpNet, zones: &[String]) -> bool {
        let Some(group) = self.find_or_add_group(zones) else {
            return false;
        };
        let block = block.trunc();
        self.remove(block);
        let section = self.sections.entry(section_id(block)).or_default();
        Arc::make_mut(section).insert(block, group);
        self.len += 1;
        self.toggle_in_digest(block, zones);
        true
    }

    /// Removes the steering of a block. Returns false if the block has none.
    pub fn remove(&mut self, block: IpNet) -> bool {
        let block = block.trunc();
        let Some(group) = self.group_of(block) else {
            return false;
        };
        let id = section_id(block);
        let section = Arc::make_mut(self.sections.entry(id).or_default());
        section.remove(&block);
        if section.is_empty() {
            self.sections.remove(&id);
        }
        self.len -= 1;
        let zones = self.groups[group.index()].clone();
        self.toggle_in_digest(block, &zones);
        true
    }

    /// Returns the zones that exactly this block is steered to, without those of larger blocks.
    pub fn zones(&self, block: IpNet) -> Option<&[String]> {
        let group = self.group_of(block.trunc())?;
        Some(&self.groups[group.index()])
    }

    /// Returns all blocks with their groups, in the order of addresses.
    pub fn blocks(&self) -> impl Iterator<Item = (IpNet, GroupId)> + '_ {
        let sections = self.sections.values().flat_map(|section| section.iter());
        sections.map(|(block, group)| (*block, *group))
    }

    /// Returns the lists of zones by group key.
    pub fn groups(&self) -> &[Vec<String>] {
        &self.groups
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no block is steered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns a hash of the blocks and their zones. It does not depend on the order in which
    /// blocks were added.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    fn group_of(&self, block: IpNet) -> Option<GroupId> {
        self.sections.get(&section_id(block))?.get(&block).copied()
    }

    fn find_or_add_group(&mut self, zones: &[String]) -> Option<GroupId> {
        let found = self.groups.iter().position(|group| group == zones);
        let position = found.unwrap_or(self.groups.len());
        let group = GroupId(u16::try_from(position).ok()?);
        if found.is_none() {
            self.groups.push(zones.to_vec());
        }
        Some(group)
    }

    /// Adds a block to the digest, or removes it if the digest includes it: XOR with its hash does
    /// both.
    fn toggle_in_digest(&mut self, block: IpNet, zones: &[String]) {
        let entry = rmp_serde::to_vec(&(block, zones)).expect("plain data encodes");
        let hash = Digest::of(&[&entry]);
        for (byte, other) in self.digest.0.iter_mut().zip(hash.0) {
            *byte ^= other;
        }
    }
}

/// Returns the key of the section that holds a block. Keys are in the order of the blocks.
fn section_id(block: IpNet) -> SectionId {
    match block {
        IpNet::V4(block) => {
            let [first, second, ..] = block.network().octets();
            (false, u16::from_be_bytes([first, second]))
        }
        IpNet::V6(block) => (true, block.network().segments()[0]),
    }
}
