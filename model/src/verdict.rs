use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Refusal, Version};

/// Final outcome of a submitted change.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The change was accepted as this version. Only a later change can undo it.
    #[display("accepted as version {version}")]
    Accepted {
        /// Version that the change created.
        version: Version,
    },
    /// The change was refused and has no effect on any instance.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// The change would be accepted as this version; nothing was changed.
    #[display("would be accepted as version {version}")]
    WouldAccept {
        /// Version that the change would create.
        version: Version,
    },
}
