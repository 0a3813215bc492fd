use derive_more::{Display, Error};

/// Error for a request whose key was fenced before the start; the request never runs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the key was fenced before its request started")]
pub struct FencedError;
