/// Key of a waiting request. An index is reused under another generation, so that an old ticket
/// never matches a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    index: u32,
    generation: u32,
}

impl Ticket {
    /// Returns the first ticket of an index.
    pub(crate) fn first(index: u32) -> Self {
        Self {
            index,
            generation: 0,
        }
    }

    /// Returns the next ticket of the same index.
    pub(crate) fn next(self) -> Self {
        Self {
            generation: self.generation.wrapping_add(1),
            ..self
        }
    }

    /// Returns the index of the request in a list of waiting requests.
    pub fn index(self) -> usize {
        self.index as usize
    }
}
