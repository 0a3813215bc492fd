use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Body of a fake upstream's answer.
#[derive(Debug)]
pub struct FakeBody {
    bytes: Option<Bytes>,
    is_truncated: bool,
}

impl FakeBody {
    /// Returns a body that says how long it is.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        Self {
            bytes: Some(bytes.into()),
            is_truncated: false,
        }
    }

    /// Returns a body that does not say how long it is, so that a header may promise more.
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
