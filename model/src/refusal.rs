use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{CommandId, Target, Version};

/// Reason why a change was refused. A refused change has no effect on any instance.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The change is based on a version that is no longer in force, as another change was accepted
    /// after it.
    #[display("based on version {base}, but version {current} is in force: {winner} by {operator}")]
    Superseded {
        /// Version that the command was based on.
        base: Version,
        /// Version in force.
        current: Version,
        /// Text of the latest accepted change.
        winner: String,
        /// Operator who made the latest accepted change.
        operator: String,
    },
    /// A name is not in the topology.
    #[display("{kind} {name:?} does not exist in the topology")]
    UnknownName {
        /// Kind of the name.
        kind: NameKind,
        /// Name as given.
        name: String,
    },
    /// An item of the configuration is invalid.
    #[display("{item} is invalid: {reason}")]
    InvalidItem {
        /// Item as given.
        item: String,
        /// Why the item is invalid.
        reason: String,
    },
    /// An item differs from the stored one of the same version.
    #[display("version {version} of {item} is taken by other contents")]
    ItemConflict {
        /// Item as given.
        item: String,
        /// Version of both items.
        version: u64,
    },
    /// An upstream is listed for a service that it does not serve.
    #[display("upstream {upstream:?} does not serve service {service:?}")]
    WrongService {
        /// Upstream as given.
        upstream: String,
        /// Service as given.
        service: String,
    },
    /// The change would leave a service without upstreams that take work.
    #[display(
        "service {service:?} would be left without an upstream that takes work; add 'force' to accept this"
    )]
    NoRoom {
        /// Service that would be without usable upstreams.
        service: String,
    },
    /// A value is lower than its minimum.
    #[display("{what} must be at least {least}, but {given} was given")]
    TooLow {
        /// Value that is too low.
        what: String,
        /// Minimum of the value.
        least: u64,
        /// Value as given.
        given: u64,
    },
    /// A value is higher than its maximum.
    #[display("{what} must be at most {most}, but {given} was given")]
    TooHigh {
        /// Value that is too high.
        what: String,
        /// Maximum of the value.
        most: u64,
        /// Value as given.
        given: u64,
    },
    /// A list that must name something is empty.
    #[display("{what} names nothing; expected at least one")]
    EmptyList {
        /// List that is empty.
        what: String,
    },
    /// The target has no drain.
    #[display("{target} has no drain to change")]
    NoDrain {
        /// Target as given.
        target: Target,
    },
    /// A drain step is larger or earlier than the drain allows.
    #[display(
        "drain of {target} stands at {moved_permille}/1000 and may not go to {asked_permille}/1000 yet"
    )]
    StepTooLarge {
        /// Target of the drain.
        target: Target,
        /// Thousandths of the traffic that have moved.
        moved_permille: u16,
        /// Thousandths of the traffic that were to move.
        asked_permille: u16,
    },
    /// The CIDR block has no steering of its own.
    #[display("block {block} has no steering to remove")]
    NoSteering {
        /// Block as given.
        block: String,
    },
    /// The version to revert to is not kept.
    #[display("version {to} is not kept; versions {oldest} to {newest} are")]
    VersionNotKept {
        /// Version as given.
        to: Version,
        /// Oldest version that is kept.
        oldest: Version,
        /// Newest version.
        newest: Version,
    },
    /// The command id was used, but its answer is no longer kept. The command may have run, so it
    /// is not run again.
    #[display(
        "command {command_id} is older than the answers that are kept; it may have run, so it is not run again"
    )]
    CommandTooOld {
        /// Command id as given.
        command_id: CommandId,
    },
    /// The command id was used for another change before.
    #[display("command id {command_id} was used for another change: {first}")]
    CommandIdReused {
        /// Command id as given.
        command_id: CommandId,
        /// Text of the change that first used the id.
        first: String,
    },
    /// The operator may not make changes.
    #[display("operator {operator:?} may not make changes")]
    NotAllowed {
        /// Operator as given.
        operator: String,
    },
    /// The instance has no space to store the change.
    #[display("storage is full on instance {instance:?}; changes are refused until it has room")]
    StorageFull {
        /// Instance whose storage is full.
        instance: String,
    },
}

/// Kind of a name in the topology.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum NameKind {
    /// Name of a region.
    #[display("region")]
    Region,
    /// Name of an availability zone.
    #[display("availability zone")]
    Zone,
    /// Name of a service.
    #[display("service")]
    Service,
    /// Name of an upstream.
    #[display("upstream")]
    Upstream,
    /// Name of an entry instance.
    #[display("instance")]
    Instance,
}
