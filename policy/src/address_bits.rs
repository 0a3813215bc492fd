/// Prefix operations on an address or the leading part of one, held as an unsigned integer.
pub trait AddressBits: Copy + Ord {
    /// Returns the first `count` bits as an integer.
    fn leading_bits(self, count: u32) -> u32;

    /// Returns whether the first `length` bits are equal to those of another address.
    fn shares_prefix(self, other: Self, length: u8) -> bool;
}

impl AddressBits for u32 {
    fn leading_bits(self, count: u32) -> u32 {
        self >> (Self::BITS - count)
    }

    fn shares_prefix(self, other: Self, length: u8) -> bool {
        (self ^ other).leading_zeros() >= u32::from(length)
    }
}

impl AddressBits for u64 {
    fn leading_bits(self, count: u32) -> u32 {
        (self >> (Self::BITS - count)) as u32
    }

    fn shares_prefix(self, other: Self, length: u8) -> bool {
        (self ^ other).leading_zeros() >= u32::from(length)
    }
}

impl AddressBits for u128 {
    fn leading_bits(self, count: u32) -> u32 {
        (self >> (Self::BITS - count)) as u32
    }

    fn shares_prefix(self, other: Self, length: u8) -> bool {
        (self ^ other).leading_zeros() >= u32::from(length)
    }
}
