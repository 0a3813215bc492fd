use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use hyper::rt::ReadBufCursor;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::pipeline::head_scanner::HeadScanner;
use crate::pipeline::scanned_head::ScannedHead;

/// Most bytes of one connection that are read before the server asks for them.
const MAX_BYTES: usize = 64 * 1024;

/// Most requests whose heads are kept; of further ones only the time of arrival is.
const MAX_KEPT_REQUESTS: usize = 32;

/// Most bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// Connection of a caller, which is read also while the server does not ask for bytes.
#[derive(Debug)]
pub(super) struct ReadAhead {
    pub stream: TcpStream,
    /// Bytes that the server has not asked for yet.
    bytes: BytesMut,
    scanner: HeadScanner,
    /// Requests whose turn has not come.
    heads: VecDeque<WaitingHead>,
    has_ended: bool,
}

/// Request that has arrived.
#[derive(Debug)]
pub(super) struct WaitingHead {
    pub head: ScannedHead,
    pub arrived_at: Instant,
}

impl ReadAhead {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            bytes: BytesMut::new(),
            scanner: HeadScanner::default(),
            heads: VecDeque::new(),
            has_ended: false,
        }
    }

    /// Returns whether the caller has closed the connection, or it broke.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Removes the requests up to the one whose turn it is, and returns when that one arrived.
    pub fn take_turn(&mut self, index: u64) -> Option<Instant> {
        let passed = self
            .heads
            .partition_point(|waiting| waiting.head.index <= index);
        let last = self.heads.drain(..passed).next_back()?;
        (last.head.index == index).then_some(last.arrived_at)
    }

    /// Returns the waiting requests from a position on.
    pub fn waiting_from(&mut self, index: u64) -> impl Iterator<Item = &mut WaitingHead> {
        let waiting = self.heads.iter_mut();
        waiting.filter(move |waiting| waiting.head.index >= index)
    }

    /// Reads what has arrived, as far as there is room; returns whether there was anything, the end
    /// of the connection included.
    pub fn fill(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_read = false;
        while !self.has_ended && self.bytes.len() < MAX_BYTES {
            let mut buffer = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut buffer);
            match Pin::new(&mut self.stream).poll_read(cx, &mut read) {
                Poll::Pending => return has_read,
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {
                    self.bytes.extend_from_slice(read.filled());
                    self.scan(read.filled());
                }
                Poll::Ready(_) => self.has_ended = true,
            }
            has_read = true;
        }
        has_read
    }

    /// Reads for the server.
    pub fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.bytes.is_empty() {
            let length = target.remaining().min(self.bytes.len());
            target.put_slice(&self.bytes[..length]);
            self.bytes.advance(length);
            if self.bytes.is_empty() {
                self.bytes = BytesMut::new();
            }
            return Poll::Ready(Ok(()));
        }
        if self.has_ended {
            return Poll::Ready(Ok(()));
        }
        let mut buffer = [0; READ_BYTES];
        let length = buffer.len().min(target.remaining());
        let mut read = ReadBuf::new(&mut buffer[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.scan(read.filled());
        target.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    fn scan(&mut self, bytes: &[u8]) {
        for mut head in self.scanner.push(bytes) {
            if self.heads.len() >= MAX_KEPT_REQUESTS {
                head.request = None;
            }
            let arrived_at = Instant::now();
            self.heads.push_back(WaitingHead { head, arrived_at });
        }
    }
}
