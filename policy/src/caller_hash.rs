use std::net::IpAddr;

use laburnumdeal_model::WHOLE_PERMILLE;
use twox_hash::XxHash64;

/// Prefix length of the IPv4 blocks whose callers get the same hash.
const V4_BLOCK_BITS: u32 = 24;

/// Prefix length of the IPv6 blocks whose callers get the same hash.
const V6_BLOCK_BITS: u32 = 48;

/// Seed of the hash. A change would move callers to other zones during a drain.
const HASH_SEED: u64 = 0x6c61_6275_726e_756d;

/// Stable hash of a caller's address block. It is the same on every instance and in every version.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::CallerHash;
///
/// let hash = CallerHash::of("192.0.2.1".parse().unwrap());
/// assert_eq!(hash, CallerHash::of("192.0.2.200".parse().unwrap()));
/// assert!(hash.permille() < 1000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerHash(u64);

impl CallerHash {
    /// Returns the hash of the block that contains an address.
    pub fn of(address: IpAddr) -> Self {
        let block = match address.to_canonical() {
            IpAddr::V4(address) => u128::from(address.to_bits() >> (32 - V4_BLOCK_BITS)),
            IpAddr::V6(address) => address.to_bits() >> (128 - V6_BLOCK_BITS) | 1 << 127,
        };
        Self(XxHash64::oneshot(HASH_SEED, &block.to_be_bytes()))
    }

    /// Returns the hash reduced to thousandths, 0 to 999.
    pub fn permille(self) -> u16 {
        (self.0 % u64::from(WHOLE_PERMILLE)) as u16
    }

    /// Returns the full hash value.
    pub fn value(self) -> u64 {
        self.0
    }
}
