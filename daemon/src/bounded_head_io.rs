use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Most bytes that may arrive before the end of the head of an answer, interim answers included.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Most bytes that are read at once while they are counted.
const READ_BYTES: usize = 8 * 1024;

/// Bytes that may still arrive on a connection before the head of an answer is complete.
#[derive(Clone, Debug)]
pub struct HeadBudget {
    remaining: Arc<AtomicUsize>,
}

impl Default for HeadBudget {
    fn default() -> Self {
        Self {
            remaining: Arc::new(AtomicUsize::new(MAX_HEAD_BYTES)),
        }
    }
}

impl HeadBudget {
    /// Starts to count at a new request.
    pub fn start(&self) {
        self.remaining.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Stops to count, because the head has arrived.
    pub fn stop(&self) {
        self.remaining.store(usize::MAX, Ordering::Relaxed);
    }

    fn is_counting(&self) -> bool {
        self.remaining.load(Ordering::Relaxed) != usize::MAX
    }

    /// Takes bytes that arrived; returns whether they are within the budget.
    fn take(&self, bytes: usize) -> bool {
        let remaining = self.remaining.load(Ordering::Relaxed);
        let left = remaining.saturating_sub(bytes);
        self.remaining.store(left, Ordering::Relaxed);
        left > 0
    }
}

/// Connection on which the head of an answer is bounded. Interim answers without end would otherwise
/// be read for as long as they come.
#[derive(Debug)]
pub struct BoundedHeadIo {
    stream: TokioIo<TcpStream>,
    budget: HeadBudget,
}

impl BoundedHeadIo {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, budget: HeadBudget) -> Self {
        Self {
            stream: TokioIo::new(stream),
            budget,
        }
    }
}

impl Read for BoundedHeadIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.budget.is_counting() {
            return Pin::new(&mut self.stream).poll_read(cx, target);
        }
        let mut buffer = [0; READ_BYTES];
        let length = buffer.len().min(target.remaining());
        let mut read = ReadBuf::new(&mut buffer[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, read.unfilled()))?;
        if !self.budget.take(read.filled().len()) {
            let reason = "the head of the answer is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        target.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for BoundedHeadIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }
}
