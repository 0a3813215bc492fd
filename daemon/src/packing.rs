//! Encoding of messages between instances: MessagePack, deflated where that pays. Links of entry
//! instances are narrow, and long messages repeat the same names many times.

use std::io::{Read, Write};

use derive_more::{Display, Error, From};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Length in bytes from which a message is deflated; shorter ones fit a packet anyway.
const DEFLATED_FROM: usize = 1_024;

/// First byte of a message that follows as it is.
const PLAIN: u8 = 0;

/// First byte of a message that follows deflated.
const DEFLATED: u8 = 1;

/// Reports why a message cannot be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum PackingError {
    /// The value cannot be encoded.
    #[display("message cannot be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are no value of the type.
    #[display("message cannot be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The bytes cannot be deflated or inflated.
    #[display("message cannot be inflated: {_0}")]
    Inflate(std::io::Error),
    /// The first byte names no encoding.
    #[display("message of an unknown encoding")]
    #[from(ignore)]
    UnknownEncoding,
    /// The message is longer than what is accepted.
    #[display("message is longer than {most_bytes} bytes")]
    #[from(ignore)]
    TooLong {
        /// Bytes that are accepted.
        most_bytes: usize,
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
    if plain.len() < DEFLATED_FROM {
        return Ok(plain);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    encoder.write_all(&plain[1..])?;
    Ok(encoder.finish()?)
}

/// Decodes a message that is no longer than `most_bytes` once it is inflated.
///
/// # Errors
///
/// Returns what is wrong with the bytes.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8], most_bytes: usize) -> Result<T, PackingError> {
    match bytes.split_first() {
        Some((&PLAIN, plain)) => Ok(rmp_serde::from_slice(plain)?),
        Some((&DEFLATED, deflated)) => {
            let mut plain = Vec::new();
            let mut limited = DeflateDecoder::new(deflated).take(most_bytes as u64 + 1);
            limited.read_to_end(&mut plain)?;
            if plain.len() > most_bytes {
                return Err(PackingError::TooLong { most_bytes });
            }
            Ok(rmp_serde::from_slice(&plain)?)
        }
        _ => Err(PackingError::UnknownEncoding),
    }
}
