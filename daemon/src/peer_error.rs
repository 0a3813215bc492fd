use derive_more::{Display, Error, From};

use crate::exchange_error::ExchangeError;

/// Reports why a message to another instance got no reply.
#[derive(Debug, Display, Error, From)]
pub enum PeerError {
    /// The exchange failed.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The reply was truncated.
    #[display("reply broke off")]
    TruncatedReply,
    /// The other instance refused the message.
    #[display("message was refused with status {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason in the reply.
        text: String,
    },
    /// The message could not be encoded.
    #[display("message cannot be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The reply could not be decoded.
    #[display("reply cannot be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The kind of the reply does not match the message.
    #[display("reply is of another kind than expected")]
    UnexpectedReply,
}
