use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Response body of a fake upstream.
#[derive(Debug)]
pub struct FakeBody {
    bytes: Option<Bytes>,
    is_truncated: bool,
}

impl FakeBody {
    /// Returns a body with a known length.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: Some(bytes.into()),
            is_truncated: false,
        }
    }

    /// Returns a body without a known length, so that `content-length` may state a larger one.
    pub fn truncated(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: Some(bytes.into()),
            is_truncated: true,
        }
    }
}

impl Body for FakeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(
            self.get_mut()
                .bytes
                .take()
                .map(|bytes| Ok(Frame::data(bytes))),
        )
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && !self.is_truncated
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.bytes, self.is_truncated) {
            (_, true) => SizeHint::default(),
            (bytes, false) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
        }
    }
}
