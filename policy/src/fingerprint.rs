/// Returns a hash over the parts of a request in their order, which identifies it in claims and poison marks.
///
/// The length of each part is hashed too, so that bytes moved between parts change the hash.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::fingerprint;
///
/// let one = fingerprint(&[b"POST", b"/rent", b"unit=7"]);
/// assert_eq!(one, fingerprint(&[b"POST", b"/rent", b"unit=7"]));
/// assert_ne!(one, fingerprint(&[b"POST", b"/ren", b"tunit=7"]));
/// ```
pub fn fingerprint(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
