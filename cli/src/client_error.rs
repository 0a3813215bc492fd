use derive_more::{Display, Error};

/// Reports why an instance returned no valid reply.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the command was sent, so the instance did not run it.
    #[display("{address}: {reason}")]
    NotSent {
        /// Address of the instance.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The command may have been sent, but no valid reply arrived; it may have run.
    #[display("{address}: {reason}")]
    Lost {
        /// Address of the instance.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
}
