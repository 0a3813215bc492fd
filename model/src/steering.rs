use std::collections::BTreeMap;
use std::sync::Arc;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{Digest, GroupId};

/// Steering of caller blocks. Each block holds a small group key; a group is one ordered list of
/// availability zones, kept once however many blocks use it. Copies share the sections that they
/// leave alone.
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

/// Address family and first two bytes that the blocks of a section share.
type SectionId = (bool, u16);

/// Blocks of one section.
type Section = BTreeMap<IpNet, GroupId>;

impl Steering {
    /// Steers a block to zones, the preferred one first. Returns false when there are already as
    /// many different lists of zones as group keys.
    pub fn insert(&mut self, block: IpNet, zones: &[String]) -> bool {
        let Some(group) = self.group(zones) else {
            return false;
        };
        let block = block.trunc();
        self.remove(block);
        let section = self.sections.entry(section_of(block)).or_default();
        Arc::make_mut(section).insert(block, group);
        self.len += 1;
        self.toggle(block, zones);
        true
    }

    /// Removes the steering of a block. Returns false when the block has none.
    pub fn remove(&mut self, block: IpNet) -> bool {
        let block = block.trunc();
        let Some(group) = self.group_of(block) else {
            return false;
        };
        let id = section_of(block);
        let section = Arc::make_mut(self.sections.entry(id).or_default());
        section.remove(&block);
        if section.is_empty() {
            self.sections.remove(&id);
        }
        self.len -= 1;
        let zones = self.groups[group.index()].clone();
        self.toggle(block, &zones);
        true
    }

    /// Returns the zones that exactly this block is steered to.
    pub fn zones(&self, block: IpNet) -> Option<&[String]> {
        let group = self.group_of(block.trunc())?;
        Some(&self.groups[group.index()])
    }

    /// Returns every block with its group, in the order of addresses.
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

    /// Returns a hash over the blocks and their zones, whatever order they were added in.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    fn group_of(&self, block: IpNet) -> Option<GroupId> {
        self.sections.get(&section_of(block))?.get(&block).copied()
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

/// Returns the section of a block; sections are in the order of their blocks.
fn section_of(block: IpNet) -> SectionId {
    match block {
        IpNet::V4(block) => {
            let [first, second, ..] = block.network().octets();
            (false, u16::from_be_bytes([first, second]))
        }
        IpNet::V6(block) => (true, block.network().segments()[0]),
    }
}
