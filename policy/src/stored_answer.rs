use serde::{Deserialize, Serialize};

/// Whole answer of a finished request, kept for resends of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order of the upstream.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the memory that the answer takes, in bytes.
    pub fn len_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| size_of::<(String, Vec<u8>)>() + name.len() + value.len())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
