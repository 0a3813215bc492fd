use laburnumdeal_model::GroupId;

/// Maximum number of blocks of one address width. Positions take three bytes, and the highest value
/// means that there is no position.
pub const MAX_BLOCKS: usize = (1 << 24) - 1;

/// Group, prefix length and enclosing block of one block, packed into six bytes. The start address
/// is stored apart.
#[derive(Clone, Copy, Debug)]
pub struct PrefixRow {
    group: u16,
    /// Position of the smallest enclosing block in three bytes, followed by the prefix length in
    /// one.
    parent_and_length: [u16; 2],
}

impl PrefixRow {
    /// Packs the row of a block.
    pub fn new(group: GroupId, length: u8, parent: Option<usize>) -> Self {
        let parent = parent.unwrap_or(MAX_BLOCKS) as u32;
        let packed = parent << 8 | u32::from(length);
        Self {
            group: group.0,
            parent_and_length: [(packed >> 16) as u16, packed as u16],
        }
    }

    /// Returns the group.
    pub fn group(self) -> GroupId {
        GroupId(self.group)
    }

    /// Returns the prefix length.
    pub fn length(self) -> u8 {
        self.parent_and_length[1] as u8
    }

    /// Returns the position of the smallest enclosing block.
    pub fn parent(self) -> Option<usize> {
        let [high, low] = self.parent_and_length.map(usize::from);
        let parent = high << 8 | low >> 8;
        (parent < MAX_BLOCKS).then_some(parent)
    }
}
