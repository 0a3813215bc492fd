use std::net::SocketAddr;

use derive_more::{Display, Error};

use crate::NameKind;

/// Reason why the settings of a topology are invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// Two entries of one kind have the same name.
    #[display("{kind} {name:?} is defined twice in the topology")]
    Duplicate {
        /// Kind of the entries.
        kind: NameKind,
        /// Name of both.
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
    /// A name has characters that the command language does not accept in names.
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
    /// The same address is used twice.
    #[display("address {address} is used twice in the topology")]
    DuplicateAddress {
        /// Address that is used twice.
        address: SocketAddr,
    },
    /// There are more entries of a kind than there are keys for them.
    #[display("the topology has {count} entries of kind {kind}; expected at most {most}")]
    TooMany {
        /// Kind of the entries.
        kind: NameKind,
        /// Number of entries.
        count: usize,
        /// Maximum number of entries.
        most: usize,
    },
    /// The number of control replicas does not make a useful quorum.
    #[display("the topology has {count} control replicas; expected 1, 3, 5 or 7")]
    ControlCount {
        /// Number of control replicas.
        count: usize,
    },
    /// A link connects a region to itself, or two links connect the same regions the same way.
    #[display(
        "link from {from:?} to {to:?} is defined twice or connects a region to itself; expected two different regions and one link each way"
    )]
    BadLink {
        /// Region that sends over the link.
        from: String,
        /// Region that receives over the link.
        to: String,
    },
}
