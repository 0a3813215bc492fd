use crate::steer::hash_of;

/// Bit that tells a fingerprint of the content from one with the caller.
const CONTENT_BIT: u64 = 1 << 63;

/// Hashes by which repeats of a request are recognized. A request that crashes upstreams may come
/// from several addresses; an innocent one that many callers send is told apart by its completed
/// runs.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::RequestFingerprints;
///
/// let of = |caller: &[u8]| RequestFingerprints::new(caller, &[b"shop.example", b"GET", b"/1", b""]);
/// assert_ne!(of(b"10.0.0.1").by_caller, of(b"10.0.0.2").by_caller);
/// assert_eq!(of(b"10.0.0.1").by_content, of(b"10.0.0.2").by_content);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFingerprints {
    /// Hash of the caller's address and the content.
    pub by_caller: u64,
    /// Hash of the content.
    pub by_content: u64,
}

impl RequestFingerprints {
    /// Returns the fingerprints of a request with these parts.
    pub fn new(caller: &[u8], content: &[&[u8]]) -> Self {
        let parts: Vec<&[u8]> = [caller]
            .into_iter()
            .chain(content.iter().copied())
            .collect();
        Self {
            by_caller: hash_of(&parts) & !CONTENT_BIT,
            by_content: hash_of(content) | CONTENT_BIT,
        }
    }

    /// Returns both.
    pub fn both(self) -> [u64; 2] {
        [self.by_caller, self.by_content]
    }
}

/// Returns whether a fingerprint is that of the content only.
pub(super) fn is_of_content(fingerprint: u64) -> bool {
    fingerprint & CONTENT_BIT != 0
}
