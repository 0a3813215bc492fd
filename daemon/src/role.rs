use derive_more::{Display, FromStr};

/// What the receiving instance may do with a request, by the hop it arrived over.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Role {
    /// Serve it in any availability zone; the request came from a caller.
    #[display("entry")]
    Entry,
    /// Claim its key, then serve it in any availability zone.
    #[display("home")]
    Home,
    /// Serve it in the receiver's availability zone.
    #[display("zone")]
    Zone,
    /// Serve it on an upstream that the receiver owns.
    #[display("owner")]
    Owner,
}
