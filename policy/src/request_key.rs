use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{ClaimToken, KeyId, TokenError, TokenSealer};

/// Maximum length of a nonce, in characters. A tokenless key is only a nonce.
pub const MAX_NONCE_CHARS: usize = 128;

/// Key of a request that must not run twice; every resend has the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKey {
    /// Token from a look-up; `None` for a key that the caller chose itself, which is called tokenless.
    pub token: Option<ClaimToken>,
    id: KeyId,
}

/// Error for a text that is not a request key.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The nonce is empty or too long.
    #[display("request key has a nonce of {chars} characters; expected 1 to {MAX_NONCE_CHARS}")]
    Length {
        /// Length of the nonce.
        chars: usize,
    },
    /// The nonce has a character that is not allowed.
    #[display("request key has the character {found:?}; expected letters, digits, '-' and '_'")]
    Character {
        /// First character that is not allowed.
        found: char,
    },
    /// The part before the `.` is not a valid token.
    #[display("request key must be NONCE or TOKEN.NONCE: {_0}")]
    Token(TokenError),
}

impl RequestKey {
    /// Parses the value of the key header, either `TOKEN.NONCE` or `NONCE`.
    ///
    /// # Errors
    ///
    /// Returns which part of the text is invalid.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_policy::{RequestKey, TokenSealer};
    ///
    /// let sealer = TokenSealer::new(b"secret of the cluster");
    /// let key = RequestKey::parse("rent-2026-12-unit-7", &sealer)?;
    /// assert!(key.token.is_none());
    /// assert!(RequestKey::parse("two words", &sealer).is_err());
    /// # Ok::<(), laburnumdeal_policy::KeyError>(())
    /// ```
    pub fn parse(text: &str, sealer: &TokenSealer) -> Result<Self, KeyError> {
        let (token, nonce) = match text.split_once('.') {
            Some((token, nonce)) => (Some(sealer.open(token).map_err(KeyError::Token)?), nonce),
            None => (None, text),
        };
        check_nonce(nonce)?;
        Ok(Self {
            token,
            id: KeyId::of(text),
        })
    }

    /// Returns the hash of the complete text.
    pub fn id(&self) -> KeyId {
        self.id
    }
}

fn check_nonce(nonce: &str) -> Result<(), KeyError> {
    if nonce.is_empty() || nonce.len() > MAX_NONCE_CHARS {
        return Err(KeyError::Length {
            chars: nonce.chars().count(),
        });
    }
    match nonce.chars().find(|c| !is_allowed(*c)) {
        Some(found) => Err(KeyError::Character { found }),
        None => Ok(()),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_')
}
