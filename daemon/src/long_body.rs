use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::body_error::BodyError;
use crate::incoming_body::IncomingBody;
use crate::request_body::enforce_limit;

/// Body that is streamed as it arrives, so that it can be sent once.
#[derive(Debug)]
pub struct LongBody {
    /// Data that was read before.
    held: VecDeque<Bytes>,
    /// Rest of the incoming body.
    rest: IncomingBody,
    /// Maximum number of bytes of `rest`.
    remaining_bytes: u64,
    has_ended: Arc<AtomicBool>,
}

impl LongBody {
    /// Returns a body that starts with data that was read before. At most `remaining_bytes` may
    /// follow.
    pub fn new(held: VecDeque<Bytes>, rest: IncomingBody, remaining_bytes: u64) -> Self {
        Self {
            held,
            rest,
            remaining_bytes,
            has_ended: Arc::default(),
        }
    }

    /// Returns the data that was read before.
    pub fn held(&self) -> &VecDeque<Bytes> {
        &self.held
    }

    /// Returns a flag that is set once all of the body has been taken to be sent.
    pub fn has_ended(&self) -> Arc<AtomicBool> {
        self.has_ended.clone()
    }

    fn next_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(bytes) = self.held.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
        Poll::Ready(frame.map(|frame| enforce_limit(frame?, &mut self.remaining_bytes)))
    }
}

impl Body for LongBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(self.next_frame(cx));
        if frame.is_none() || self.is_end_stream() {
            self.has_ended.store(true, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.held.is_empty() {
            true => self.rest.size_hint(),
            false => SizeHint::default(),
        }
    }
}
