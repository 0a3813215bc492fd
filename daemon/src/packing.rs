//! Encoding of messages between instances: MessagePack, deflated when the message is long. The
//! links of entry instances have little bandwidth, and long messages repeat names many times.

use std::io::{Read, Write};

use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length in bytes from which a message is deflated; shorter ones fit into one packet anyway.
const MIN_DEFLATED_BYTES: usize = 1_024;

/// First byte of a message that is not compressed.
const PLAIN: u8 = 0;

/// First byte of a deflated message.
const DEFLATED: u8 = 1;

/// Reports why a message cannot be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum PackingError {
    /// The value cannot be encoded.
    #[display("message cannot be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes do not decode to the expected type.
    #[display("message cannot be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The bytes cannot be compressed or decompressed.
    #[display("message cannot be inflated: {_0}")]
    Inflate(std::io::Error),
    /// The first byte is not a known encoding.
    #[display("message of an unknown encoding")]
    #[from(ignore)]
    UnknownEncoding,
    /// The message is longer than the accepted maximum.
    #[display("message is longer than {max_bytes} bytes")]
    #[from(ignore)]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
}

/// Encodes a message.
///
/// # Errors
///
/// Returns [`PackingError::Encode`] for a value that MessagePack cannot hold.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::{pack, unpack};
///
/// let names = vec!["a name that repeats"; 1_000];
/// let bytes = pack(&names)?;
/// assert!(bytes.len() < 1_000);
/// assert_eq!(unpack::<Vec<String>>(&bytes, 1 << 20)?, names);
/// # Ok::<(), laburnumdeal_daemon::PackingError>(())
/// ```
pub fn pack(message: &impl Serialize) -> Result<Vec<u8>, PackingError> {
    let mut plain = vec![PLAIN];
    rmp_serde::encode::write(&mut plain, message)?;
    if plain.len() < MIN_DEFLATED_BYTES {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?)
}

/// Decodes a message that is no longer than `max_bytes` once it is inflated.
///
/// # Errors
///
/// Returns why the bytes cannot be decoded.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8], max_bytes: usize) -> Result<T, PackingError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => Ok(rmp_serde::from_slice(plain)?),
        Some((&DEFLATED, deflated)) => {
            let mut plain = Vec::new();
            let mut limited = DeflateDecoder::new(deflated).take(max_bytes as u64 + 1);
            limited.read_to_end(&mut plain)?;
            if plain.len() > max_bytes {
                return Err(PackingError::TooLong { max_bytes });
            }
            Ok(rmp_serde::from_slice(&plain)?)
        }
        _ => Err(PackingError::UnknownEncoding),
    }
}
