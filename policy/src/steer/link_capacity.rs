use std::time::Duration;

/// Longest answer that is held whole on any link.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// Shortest limit on answers that are held whole. Most answers fit, so that one that breaks off can
/// be asked for again elsewhere.
const MIN_HELD_BYTES: usize = 8 * 1024;

/// Time that an answer which is held whole may take on the link. A longer one would cross the link
/// twice, one time after the other.
const HELD_TIME: Duration = Duration::from_millis(50);

/// Longest body of a request that is buffered whole, so that it can be sent again.
const MAX_BUFFERED_BODY_BYTES: usize = 128 * 1024;

/// Time that the bytes under way on one connection may take on the link. All other packets wait
/// behind them.
const WINDOW_TIME: Duration = Duration::from_millis(64);

/// Shortest socket buffer.
const MIN_WINDOW_BYTES: usize = 8 * 1024;

/// Bytes from which the buffers of sockets are left as they are.
const DEFAULT_WINDOW_BYTES: usize = 256 * 1024;

/// Bytes that may be under way on other connections when one is opened.
const QUEUED_BYTES: usize = 64 * 1024;

/// What the link of this machine carries, and what follows for connections and answers. A narrow
/// link that is busy with large answers delays every packet, which must not be taken for the silence
/// of the other side.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use laburnumdeal_policy::steer::LinkCapacity;
///
/// let narrow = LinkCapacity::new(2.0);
/// assert_eq!(narrow.held_answer_bytes(), 12_500);
/// assert!(narrow.patience(Duration::from_millis(300)) > Duration::from_millis(500));
/// assert_eq!(LinkCapacity::default().window_bytes(), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCapacity {
    /// `None` if the link is not known to be a limit.
    bytes_per_s: Option<f64>,
}

impl LinkCapacity {
    /// Returns the capacity of a link with a bandwidth in Mbit/s in each direction.
    pub fn new(mbps: f64) -> Self {
        Self {
            bytes_per_s: Some(mbps * 1_000_000.0 / 8.0),
        }
    }

    /// Returns the length up to which an answer is held whole before its first byte goes to the
    /// caller.
    pub fn held_answer_bytes(&self) -> usize {
        let bytes = self.bytes_in(HELD_TIME).unwrap_or(MAX_HELD_BYTES);
        bytes.clamp(MIN_HELD_BYTES, MAX_HELD_BYTES)
    }

    /// Returns the length up to which the body of a request is buffered whole before its first byte
    /// goes to an upstream. A longer one crosses the link in both directions at the same time, and
    /// can be sent once. A request that may be repeated is worth the wait.
    pub fn buffered_body_bytes(&self, is_repeatable: bool) -> usize {
        let bytes = self.bytes_in(HELD_TIME).filter(|_| !is_repeatable);
        bytes.map_or(MAX_BUFFERED_BODY_BYTES, |bytes| {
            bytes.clamp(MIN_HELD_BYTES, MAX_BUFFERED_BODY_BYTES)
        })
    }

    /// Returns the length of the buffers of a socket, in which its bytes under way stand; `None` to
    /// leave them as they are.
    pub fn window_bytes(&self) -> Option<usize> {
        let bytes = self.bytes_in(WINDOW_TIME)?;
        (bytes < DEFAULT_WINDOW_BYTES).then_some(bytes.max(MIN_WINDOW_BYTES))
    }

    /// Returns a timeout of a short exchange, longer by the time that it may wait for this link.
    pub fn patience(&self, timeout: Duration) -> Duration {
        let queued_s = self
            .bytes_per_s
            .map_or(0.0, |bytes_per_s| QUEUED_BYTES as f64 / bytes_per_s);
        timeout + Duration::from_secs_f64(queued_s)
    }

    /// Returns what a narrow link carries in each direction in a second; `None` for links on which
    /// bytes do not wait for others.
    pub fn narrow_bytes_per_s(&self) -> Option<f64> {
        self.bytes_per_s.filter(|_| self.window_bytes().is_some())
    }

    fn bytes_in(&self, time: Duration) -> Option<usize> {
        let bytes = self.bytes_per_s? * time.as_secs_f64();
        Some(bytes as usize)
    }
}
