use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

use crate::pipeline::read_ahead::ReadAhead;

/// Handle to a [`ReadAhead`], through which the server reads and writes.
#[derive(Clone, Debug)]
pub(super) struct ReadAheadIo {
    shared: Arc<Mutex<ReadAhead>>,
}

impl ReadAheadIo {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            shared: Arc::new(Mutex::new(ReadAhead::new(stream))),
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, ReadAhead> {
        self.shared.lock().expect("no holder panics")
    }
}

impl Read for ReadAheadIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.lock().poll_read(cx, target)
    }
}

impl Write for ReadAheadIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().stream).poll_write_vectored(cx, buffers)
    }
}
