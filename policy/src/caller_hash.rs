use std::net::IpAddr;

use laburnumdeal_model::WHOLE_PERMILLE;
use twox_hash::XxHash64;

/// Address bits that callers of one IPv4 block share.
const V4_BLOCK_BITS: u32 = 24;

/// Address bits that callers of one IPv6 block share.
const V6_BLOCK_BITS: u32 = 48;

/// Seed of the hash; changing it moves callers between slots.
const SLOT_SEED: u64 = 0x6c61_6275_726e_756d;

/// Stable hash of a caller's block, equal on every instance and in every version.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::CallerHash;
///
/// let slot = CallerHash::of("192.0.2.1".parse().unwrap());
/// assert_eq!(slot, CallerHash::of("192.0.2.200".parse().unwrap()));
/// assert!(slot.permille() < 1000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerHash(u64);

impl CallerHash {
    /// Returns the slot of the block that an address lies in.
    pub fn of(address: IpAddr) -> Self {
        let block = match address.to_canonical() {
            IpAddr::V4(address) => u128::from(address.to_bits() >> (32 - V4_BLOCK_BITS)),
            IpAddr::V6(address) => address.to_bits() >> (128 - V6_BLOCK_BITS) | 1 << 127,
        };
        Self(XxHash64::oneshot(SLOT_SEED, &block.to_be_bytes()))
    }

    /// Returns the slot as thousandths, 0 to 999.
    pub fn permille(self) -> u16 {
        (self.0 % u64::from(WHOLE_PERMILLE)) as u16
    }

    /// Returns the whole hash.
    pub fn value(self) -> u64 {
        self.0
    }
}
