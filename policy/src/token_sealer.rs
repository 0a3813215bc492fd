use derive_more::{Display, Error};
use laburnumdeal_model::{BootId, InstanceId};

use crate::ClaimToken;

const KEY_CONTEXT: &str = "laburnumdeal 2026 claim token tag";
const TOKEN_VERSION: u8 = 1;
const BODY_BYTES: usize = 30;
const TAG_BYTES: usize = 16;
const SEALED_CHARS: usize = 2 * (BODY_BYTES + TAG_BYTES);

/// Encodes claim tokens as text with a message authentication code, and decodes and verifies them.
///
/// The token is authenticated, not encrypted.
#[derive(Clone)]
pub struct TokenSealer {
    key: [u8; 32],
}

/// Error for a text that is not a claim token of this cluster.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TokenError {
    /// The text does not have the length of a token.
    #[display("claim token has {chars} characters; expected {SEALED_CHARS}")]
    Length {
        /// Length of the text.
        chars: usize,
    },
    /// The text has a character that is not allowed.
    #[display("claim token has a character other than 0-9 and a-f")]
    Character,
    /// The authentication tag does not match the token under the secret of this cluster.
    #[display("claim token was not issued by this cluster; expected a token from a look-up")]
    Tag,
    /// The token has an unsupported format version.
    #[display("claim token has version {found}; expected {TOKEN_VERSION}")]
    Version {
        /// Format version of the token.
        found: u8,
    },
    /// Home and mirror are the same instance.
    #[display("claim token names instance {instance} as home and mirror; expected two instances")]
    SamePair {
        /// Instance that is both home and mirror.
        instance: InstanceId,
    },
}

impl TokenSealer {
    /// Returns a sealer that derives its key from the secret that the instances of a cluster share.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::{BootId, InstanceId};
    /// use laburnumdeal_policy::{ClaimToken, TokenSealer};
    ///
    /// let sealer = TokenSealer::new(b"secret of the cluster");
    /// let token = ClaimToken {
    ///     home: InstanceId(1),
    ///     home_boot: BootId(70),
    ///     mirror: Some((InstanceId(2), BootId(71))),
    ///     issued_ms: 1_000,
    /// };
    /// assert_eq!(sealer.open(&sealer.seal(&token))?, token);
    /// assert!(TokenSealer::new(b"another").open(&sealer.seal(&token)).is_err());
    /// # Ok::<(), laburnumdeal_policy::TokenError>(())
    /// ```
    pub fn new(secret: &[u8]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret),
        }
    }

    /// Encodes a token as URL-safe text.
    pub fn seal(&self, token: &ClaimToken) -> String {
        let body = encode(token);
        let mut sealed = hex::encode(body);
        sealed.push_str(&hex::encode(self.tag(&body)));
        sealed
    }

    /// Verifies and decodes a sealed token.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is malformed or was not issued by this cluster.
    pub fn open(&self, text: &str) -> Result<ClaimToken, TokenError> {
        if text.len() != SEALED_CHARS {
            return Err(TokenError::Length { chars: text.len() });
        }
        // A token has only one valid text, so that a key has only one id.
        if text.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(TokenError::Character);
        }
        let mut bytes = [0; BODY_BYTES + TAG_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| TokenError::Character)?;
        let (body, tag) = bytes.split_at(BODY_BYTES);
        if !is_equal_in_constant_time(&self.tag(body), tag) {
            return Err(TokenError::Tag);
        }
        decode(body)
    }

    fn tag(&self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.key, body);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }
}

fn encode(token: &ClaimToken) -> [u8; BODY_BYTES] {
    let (mirror, mirror_boot) = token.mirror.unwrap_or((InstanceId(0), BootId(0)));
    let mut body = [0; BODY_BYTES];
    body[0] = TOKEN_VERSION;
    body[1] = token.mirror.is_some().into();
    body[2..4].copy_from_slice(&token.home.0.to_le_bytes());
    body[4..12].copy_from_slice(&token.home_boot.0.to_le_bytes());
    body[12..14].copy_from_slice(&mirror.0.to_le_bytes());
    body[14..22].copy_from_slice(&mirror_boot.0.to_le_bytes());
    body[22..30].copy_from_slice(&token.issued_ms.to_le_bytes());
    body
}

fn decode(body: &[u8]) -> Result<ClaimToken, TokenError> {
    if body[0] != TOKEN_VERSION {
        return Err(TokenError::Version { found: body[0] });
    }
    let home = InstanceId(read_u16(body, 2));
    let mirror =
        (body[1] == 1).then(|| (InstanceId(read_u16(body, 12)), BootId(read_u64(body, 14))));
    if mirror.is_some_and(|(instance, _)| instance == home) {
        return Err(TokenError::SamePair { instance: home });
    }
    Ok(ClaimToken {
        home,
        home_boot: BootId(read_u64(body, 4)),
        mirror,
        issued_ms: read_u64(body, 22),
    })
}

fn read_u16(body: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([body[at], body[at + 1]])
}

fn read_u64(body: &[u8], at: usize) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&body[at..at + 8]);
    u64::from_le_bytes(bytes)
}

fn is_equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |difference, (l, r)| difference | (l ^ r));
    left.len() == right.len() && difference == 0
}
