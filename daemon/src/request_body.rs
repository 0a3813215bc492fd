use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::From;
use http_body::{Body, Frame, SizeHint};

use crate::body_error::BodyError;
use crate::long_body::LongBody;

/// Body of a request that is sent to an upstream or a peer.
#[derive(Debug, From)]
pub enum RequestBody {
    /// Buffered whole, so that the request can be sent again.
    #[from(ignore)]
    Whole(Option<Bytes>),
    /// Streamed as it arrives.
    Long(LongBody),
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
            Self::Long(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Long(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Long(body) => body.size_hint(),
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
