/// Key of a waiting request. A position is used again under another turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    position: u32,
    turn: u32,
}

impl Ticket {
    /// Returns the first ticket of a position.
    pub(crate) fn first(position: u32) -> Self {
        Self { position, turn: 0 }
    }

    /// Returns the ticket that follows on the same position.
    pub(crate) fn next(self) -> Self {
        Self {
            turn: self.turn.wrapping_add(1),
            ..self
        }
    }

    /// Returns the position of the entry in an arena of waiting requests.
    pub fn index(self) -> usize {
        self.position as usize
    }
}
