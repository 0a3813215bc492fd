use std::net::SocketAddr;

use derive_more::{Display, Error};

use crate::NameKind;

/// Reports what is wrong in a topology.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// Two entries of one kind have the same name.
    #[display("{kind} {name:?} is defined twice in the topology")]
    Duplicate {
        /// Kind of the entries.
        kind: NameKind,
        /// Name they share.
        name: String,
    },
    /// An entry refers to a name that is not defined.
    #[display("{kind} {name:?}, named by {referrer:?}, does not exist in the topology")]
    Unknown {
        /// Kind of the missing entry.
        kind: NameKind,
        /// Missing name.
        name: String,
        /// Entry that refers to it.
        referrer: String,
    },
    /// A name has characters that the command language does not take.
    #[display(
        "{kind} name {name:?} must start with a letter and have only letters, digits, '-' and '_'"
    )]
    BadName {
        /// Kind of the entry.
        kind: NameKind,
        /// Name as given.
        name: String,
    },
    /// A number must be greater than zero.
    #[display("{field} of {name:?} is 0; expected 1 or more")]
    Zero {
        /// Field that is zero.
        field: &'static str,
        /// Entry that it belongs to.
        name: String,
    },
    /// Two entries listen on the same address.
    #[display("address {address} is used twice in the topology")]
    DuplicateAddress {
        /// Address that is used twice.
        address: SocketAddr,
    },
    /// More entries than keys can tell apart.
    #[display("the topology has {count} entries of kind {kind}; expected at most {most}")]
    TooMany {
        /// Kind of the entries.
        kind: NameKind,
        /// How many there are.
        count: usize,
        /// How many are allowed.
        most: usize,
    },
    /// The number of control replicas cannot form a useful quorum.
    #[display("the topology has {count} control replicas; expected 1, 3, 5 or 7")]
    ControlCount {
        /// How many there are.
        count: usize,
    },
    /// A link joins a region with itself, or two links join the same regions.
    #[display("link from {from:?} to {to:?} joins a region with itself or is defined twice")]
    BadLink {
        /// Region that sends.
        from: String,
        /// Region that receives.
        to: String,
    },
}
