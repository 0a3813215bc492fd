use derive_more::{Display, Error};

/// Reports that a key was fenced before its request started; it never runs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the key was fenced before its request started")]
pub struct FencedError;
