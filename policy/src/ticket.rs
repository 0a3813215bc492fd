/// Key of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u32);

impl Ticket {
    /// Returns the position of the entry in an arena of waiting requests.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
