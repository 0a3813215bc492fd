use serde::{Deserialize, Serialize};

/// Complete answer of a finished request, stored for resends of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers in the order in which the upstream sent them.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the memory used by the answer, in bytes.
    pub fn len_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| size_of::<(String, Vec<u8>)>() + name.len() + value.len())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
