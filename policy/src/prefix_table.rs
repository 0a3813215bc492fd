use laburnumdeal_model::GroupId;

use crate::AddressBits;

/// Position that stands for "no enclosing block".
const NO_PARENT: u32 = u32::MAX;

/// Leading address bits that the index over the sorted starts is keyed by.
const INDEX_BITS: u32 = 16;

/// Sorted blocks of one address width, in flat columns. A look-up finds the last block that starts
/// at or before the address and walks outwards from it until a block contains the address.
#[derive(Clone, Debug)]
pub struct PrefixTable<A> {
    starts: Vec<A>,
    lengths: Vec<u8>,
    groups: Vec<GroupId>,
    /// Position of the smallest enclosing block.
    parents: Vec<u32>,
    /// First position whose start has at least these leading bits.
    index: Vec<u32>,
}

impl<A: AddressBits> PrefixTable<A> {
    /// Returns the table of blocks sorted by start, the shorter prefix first.
    pub fn build(blocks: &[(A, u8, GroupId)]) -> Self {
        let mut table = Self {
            starts: blocks.iter().map(|block| block.0).collect(),
            lengths: blocks.iter().map(|block| block.1).collect(),
            groups: blocks.iter().map(|block| block.2).collect(),
            parents: Vec::with_capacity(blocks.len()),
            index: Vec::new(),
        };
        debug_assert!(blocks.is_sorted_by_key(|block| (block.0, block.1)));
        table.link_parents();
        table.build_index();
        table
    }

    /// Returns the group of the longest block that contains an address.
    pub fn find(&self, address: A) -> Option<GroupId> {
        if self.starts.is_empty() {
            return None;
        }
        let bucket = address.leading_bits(INDEX_BITS) as usize;
        let low = self.index[bucket] as usize;
        let high = self.index[bucket + 1] as usize;
        let after = low + self.starts[low..high].partition_point(|start| *start <= address);
        let mut position = after.checked_sub(1)?;
        loop {
            if self.contains(position, address) {
                return Some(self.groups[position]);
            }
            match self.parents[position] {
                NO_PARENT => return None,
                parent => position = parent as usize,
            }
        }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns the bytes that the columns take up.
    pub fn bytes(&self) -> usize {
        size_of_val(&self.starts[..])
            + size_of_val(&self.lengths[..])
            + size_of_val(&self.groups[..])
            + size_of_val(&self.parents[..])
            + size_of_val(&self.index[..])
    }

    fn contains(&self, position: usize, address: A) -> bool {
        self.starts[position].shares_prefix(address, self.lengths[position])
    }

    fn link_parents(&mut self) {
        let mut open: Vec<u32> = Vec::new();
        for position in 0..self.starts.len() {
            let start = self.starts[position];
            while open
                .last()
                .is_some_and(|outer| !self.contains(*outer as usize, start))
            {
                open.pop();
            }
            self.parents.push(open.last().copied().unwrap_or(NO_PARENT));
            open.push(position as u32);
        }
    }

    fn build_index(&mut self) {
        if self.starts.is_empty() {
            return;
        }
        let mut position = 0;
        for bucket in 0..=1_u32 << INDEX_BITS {
            let before = |start: &A| start.leading_bits(INDEX_BITS) < bucket;
            while self.starts.get(position).is_some_and(before) {
                position += 1;
            }
            self.index.push(position as u32);
        }
    }
}
