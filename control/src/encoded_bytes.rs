use std::io::{self, Write};

use serde::Serialize;

/// Returns the length of a value as MessagePack, in bytes, without holding the encoded value.
///
/// # Panics
///
/// Panics if MessagePack cannot hold the value.
///
/// # Examples
///
/// ```
/// use laburnumdeal_control::encoded_bytes;
///
/// assert_eq!(encoded_bytes(&"seven"), 6);
/// ```
pub fn encoded_bytes(value: &impl Serialize) -> u64 {
    let mut counter = ByteCounter::default();
    rmp_serde::encode::write(&mut counter, value).expect("the value encodes as MessagePack");
    counter.bytes
}

/// Counts the bytes that are written to it.
#[derive(Default)]
struct ByteCounter {
    bytes: u64,
}

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
