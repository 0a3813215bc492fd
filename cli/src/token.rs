use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use http::HeaderValue;
use http::header::InvalidHeaderValue;

/// Environment variable that holds the operator's token.
pub const TOKEN_VARIABLE: &str = "LABURNUMCTL_TOKEN";

/// Secret of an operator. It is never printed.
#[derive(Clone, derive_more::Debug)]
#[debug("Token(hidden)")]
pub struct Token(HeaderValue);

/// Reports why there is no token.
#[derive(Debug, Display, Error)]
pub enum TokenError {
    /// The file could not be read.
    #[display("token file {}: {source}", file.display())]
    Read {
        /// File as given.
        file: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The text cannot be sent in a header.
    #[display("token has characters that no header may have")]
    InvalidCharacter {
        /// Error of the header.
        source: InvalidHeaderValue,
    },
    /// Neither a file nor the environment holds a token.
    #[display("no token; expected --token-file FILE or {TOKEN_VARIABLE} in the environment")]
    Missing,
}

impl Token {
    /// Returns the token of the file, or else of the environment's value.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read or the text is no token.
    pub fn read(file: Option<&Path>, variable: Option<&str>) -> Result<Self, TokenError> {
        match (file, variable) {
            (Some(file), _) => Self::parse(&read_file(file)?),
            (None, Some(text)) => Self::parse(text),
            (None, None) => Err(TokenError::Missing),
        }
    }

    /// Returns the token written in `text`; blanks around it do not count.
    ///
    /// # Errors
    ///
    /// Returns an error for an empty text and for one that no header may hold.
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

    /// Returns the value of the `Authorization` header.
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
