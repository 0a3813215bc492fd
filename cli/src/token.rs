use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use http::HeaderValue;
use http::header::InvalidHeaderValue;

/// Environment variable that contains the operator's token.
pub const TOKEN_VARIABLE: &str = "LABURNUMCTL_TOKEN";

/// Token that authenticates an operator. Its `Debug` output does not reveal it.
#[derive(Clone, derive_more::Debug)]
#[debug("Token(hidden)")]
pub struct Token(HeaderValue);

/// Reports why no valid token is available.
#[derive(Debug, Display, Error)]
pub enum TokenError {
    /// The file could not be read.
    #[display("token file {}: {source}", file.display())]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The token cannot be sent in an HTTP header.
    #[display(
        "token has a character that HTTP headers do not allow; expected no control characters"
    )]
    InvalidCharacter {
        /// Cause.
        source: InvalidHeaderValue,
    },
    /// Neither a file nor the environment provides a token, or it is empty.
    #[display("no token; expected --token-file FILE or {TOKEN_VARIABLE} in the environment")]
    Missing,
}

impl Token {
    /// Reads the token from `file`, or takes the value of the environment variable if no file is
    /// given.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or if the token is missing or not valid.
    pub fn read(file: Option<&Path>, variable: Option<&str>) -> Result<Self, TokenError> {
        match (file, variable) {
            (Some(file), _) => Self::parse(&read_file(file)?),
            (None, Some(text)) => Self::parse(text),
            (None, None) => Err(TokenError::Missing),
        }
    }

    /// Parses a token; leading and trailing white space is ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is empty or has characters that HTTP headers do not allow.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_cli::Token;
    ///
    /// let token = Token::parse("secret-of-nadia\n")?;
    /// assert_eq!(format!("{token:?}"), "Token(hidden)");
    /// # Ok::<(), laburnumdeal_cli::TokenError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, TokenError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(TokenError::Missing);
        }
        let header = HeaderValue::try_from(format!("Bearer {text}"));
        let mut header = header.map_err(|source| TokenError::InvalidCharacter { source })?;
        header.set_sensitive(true);
        Ok(Self(header))
    }

    /// Returns the value of the `Authorization` header, marked as sensitive.
    pub(crate) fn header(&self) -> HeaderValue {
        self.0.clone()
    }
}

fn read_file(file: &Path) -> Result<String, TokenError> {
    fs::read_to_string(file).map_err(|source| TokenError::Read {
        file: file.to_owned(),
        source,
    })
}
