use derive_more::{Display, Error};

/// Reason why one instance gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the command has left; it did not run there.
    #[display("{address}: {reason}")]
    NotSent {
        /// Address of the instance.
        address: String,
        /// What went wrong.
        reason: String,
    },
    /// The command was sent, but no valid answer came back.
    #[display("{address}: {reason}")]
    Lost {
        /// Address of the instance.
        address: String,
        /// What went wrong.
        reason: String,
    },
}
