use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use crate::body_error::BodyError;
use crate::exchange_guard::ExchangeGuard;
use crate::request_body::enforce_limit;

/// Body of an answer that is sent to the caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Buffered whole.
    Whole(Option<Bytes>),
    /// Streamed as it arrives.
    Stream(Box<StreamedAnswer>),
}

/// Answer body that is streamed as it arrives, up to a length and a deadline.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// Data that was read before.
    held: Option<Bytes>,
    inner: Incoming,
    remaining_bytes: u64,
    deadline: Pin<Box<Sleep>>,
    guard: Option<ExchangeGuard>,
}

impl AnswerBody {
    /// Returns a buffered body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Returns a body that starts with `held` and is streamed until `deadline`; `guard` is completed
    /// at its end.
    pub fn stream(
        held: Bytes,
        inner: Incoming,
        max_bytes: u64,
        deadline: Instant,
        guard: ExchangeGuard,
    ) -> Self {
        let mut streamed = StreamedAnswer {
            held: Some(held).filter(|bytes| !bytes.is_empty()),
            inner,
            remaining_bytes: max_bytes,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
            guard: Some(guard),
        };
        streamed.complete_at_end();
        Self::Stream(Box::new(streamed))
    }
}

impl StreamedAnswer {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.deadline.as_mut().poll(cx).is_ready() && self.guard.is_some() {
            if let Some(guard) = self.guard.take() {
                guard.timed_out();
            }
            return Poll::Ready(Some(Err(BodyError::TimedOut)));
        }
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let frame = match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
            Some(Ok(frame)) => enforce_limit(frame, &mut self.remaining_bytes),
            Some(Err(error)) => Err(error.into()),
            None => {
                self.complete();
                return Poll::Ready(None);
            }
        };
        match &frame {
            Ok(_) => self.complete_at_end(),
            Err(_) => self.fail(),
        }
        Poll::Ready(Some(frame))
    }

    /// Completes the exchange as soon as the last byte has arrived, since the receiver may not poll
    /// again.
    fn complete_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.complete();
        }
    }

    fn fail(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.fail();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let frame = bytes
                    .take()
                    .filter(|b| !b.is_empty())
                    .map(|b| Ok(Frame::data(b)));
                Poll::Ready(frame)
            }
            Self::Stream(streamed) => streamed.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(streamed) => streamed.held.is_none() && streamed.inner.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(streamed) if streamed.held.is_some() => SizeHint::default(),
            Self::Stream(streamed) => streamed.inner.size_hint(),
        }
    }
}
