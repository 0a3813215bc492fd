use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use crate::incoming_body::IncomingBody;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::body_error::BodyError;

/// Body of a request that is sent to an upstream or a peer.
#[derive(Debug)]
pub enum RequestBody {
    /// Buffered whole, so that the request can be sent again.
    Whole(Option<Bytes>),
    /// Streamed as it arrives, up to `remaining_bytes` more.
    Stream {
        /// Rest of the incoming body.
        inner: IncomingBody,
        /// Maximum number of bytes that may still follow.
        remaining_bytes: u64,
    },
    /// Starts with data that was read before; the rest is streamed as it arrives.
    PartiallyRead {
        /// Data that was read before.
        held: VecDeque<Bytes>,
        /// Rest of the incoming body.
        inner: IncomingBody,
        /// Maximum number of bytes that may still follow.
        remaining_bytes: u64,
    },
}

impl RequestBody {
    /// Returns a buffered body.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }
}

impl Body for RequestBody {
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
            Self::Stream {
                inner,
                remaining_bytes,
            } => {
                let frame = std::task::ready!(Pin::new(inner).poll_frame(cx));
                Poll::Ready(frame.map(|frame| enforce_limit(frame?, remaining_bytes)))
            }
            Self::PartiallyRead {
                held,
                inner,
                remaining_bytes,
            } => {
                if let Some(bytes) = held.pop_front() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let frame = std::task::ready!(Pin::new(inner).poll_frame(cx));
                Poll::Ready(frame.map(|frame| enforce_limit(frame?, remaining_bytes)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream { inner, .. } => inner.is_end_stream(),
            Self::PartiallyRead { held, inner, .. } => held.is_empty() && inner.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream { inner, .. } => inner.size_hint(),
            Self::PartiallyRead { .. } => SizeHint::default(),
        }
    }
}

/// Returns the frame unless it exceeds the bytes that may still follow, and counts its bytes.
pub fn enforce_limit(
    frame: Frame<Bytes>,
    remaining_bytes: &mut u64,
) -> Result<Frame<Bytes>, BodyError> {
    let length = frame.data_ref().map_or(0, Bytes::len) as u64;
    match remaining_bytes.checked_sub(length) {
        Some(rest) => {
            *remaining_bytes = rest;
            Ok(frame)
        }
        None => Err(BodyError::TooLong),
    }
}
