use laburnumdeal_model::GroupId;

use crate::AddressBits;
use crate::prefix_row::{MAX_BLOCKS, PrefixRow};

/// Leading address bits that the index over the sorted starts is keyed by.
const INDEX_BITS: u32 = 16;

/// Sorted blocks of one address width, in flat columns. A look-up finds the last block that starts
/// at or before the address and walks outwards from it until a block contains the address.
#[derive(Clone, Debug)]
pub struct PrefixTable<A> {
    starts: Vec<A>,
    rows: Vec<PrefixRow>,
    /// First position whose start has at least these leading bits.
    index: Vec<u32>,
}

impl<A: AddressBits> PrefixTable<A> {
    /// Returns the table of blocks sorted by start, the shorter prefix first.
    ///
    /// # Panics
    ///
    /// Panics for more than `MAX_BLOCKS` blocks.
    pub fn build(blocks: &[(A, u8, GroupId)]) -> Self {
        assert!(blocks.len() <= MAX_BLOCKS, "{} blocks", blocks.len());
        debug_assert!(blocks.is_sorted_by_key(|block| (block.0, block.1)));
        let mut table = Self {
            starts: blocks.iter().map(|block| block.0).collect(),
            rows: Vec::with_capacity(blocks.len()),
            index: Vec::new(),
        };
        table.link_rows(blocks);
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
            let row = self.rows[position];
            if self.starts[position].shares_prefix(address, row.length()) {
                return Some(row.group());
            }
            position = row.parent()?;
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
        size_of_val(&self.starts[..]) + size_of_val(&self.rows[..]) + size_of_val(&self.index[..])
    }

    fn link_rows(&mut self, blocks: &[(A, u8, GroupId)]) {
        let mut open: Vec<usize> = Vec::new();
        for (position, (start, length, group)) in blocks.iter().enumerate() {
            let encloses = |outer: &usize| blocks[*outer].0.shares_prefix(*start, blocks[*outer].1);
            while open.last().is_some_and(|outer| !encloses(outer)) {
                open.pop();
            }
            let parent = open.last().copied();
            self.rows.push(PrefixRow::new(*group, *length, parent));
            open.push(position);
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
