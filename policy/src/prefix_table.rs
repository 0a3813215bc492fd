use laburnumdeal_model::GroupId;

use crate::AddressBits;
use crate::prefix_row::{MAX_BLOCKS, PrefixRow};

/// Number of leading address bits that the index over the sorted start addresses uses as its key.
const INDEX_BITS: u32 = 16;

/// Longest-prefix-match table of the blocks of one address width, sorted by start address. A lookup
/// finds the last block that starts at or before the address, then follows the enclosing blocks
/// until one contains the address.
#[derive(Clone, Debug)]
pub struct PrefixTable<A> {
    starts: Vec<A>,
    rows: Vec<PrefixRow>,
    /// For each value of the leading bits, the first position whose start address has at least this
    /// value.
    index: Vec<u32>,
}

impl<A: AddressBits> PrefixTable<A> {
    /// Builds the table from blocks sorted by start address and then by prefix length.
    ///
    /// # Panics
    ///
    /// Panics if there are more than `MAX_BLOCKS` blocks.
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

    /// Returns whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Returns the memory that the table uses, in bytes.
    pub fn bytes(&self) -> usize {
        size_of_val(&self.starts[..]) + size_of_val(&self.rows[..]) + size_of_val(&self.index[..])
    }

    fn link_rows(&mut self, blocks: &[(A, u8, GroupId)]) {
        let mut enclosing: Vec<usize> = Vec::new();
        for (position, (start, length, group)) in blocks.iter().enumerate() {
            let encloses = |outer: &usize| blocks[*outer].0.shares_prefix(*start, blocks[*outer].1);
            while enclosing.last().is_some_and(|outer| !encloses(outer)) {
                enclosing.pop();
            }
            let parent = enclosing.last().copied();
            self.rows.push(PrefixRow::new(*group, *length, parent));
            enclosing.push(position);
        }
    }

    fn build_index(&mut self) {
        if self.starts.is_empty() {
            return;
        }
        let mut position = 0;
        for bucket in 0..=1_u32 << INDEX_BITS {
            let is_before_bucket = |start: &A| start.leading_bits(INDEX_BITS) < bucket;
            while self.starts.get(position).is_some_and(is_before_bucket) {
                position += 1;
            }
            self.index.push(position as u32);
        }
    }
}
