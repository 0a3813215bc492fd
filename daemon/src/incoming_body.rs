use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::From;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// Body of a request that a server received.
#[derive(Debug, From)]
pub enum IncomingBody {
    /// The request has none.
    #[from(ignore)]
    Empty,
    /// Arrives on the connection of the request.
    Streamed(Incoming),
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            Self::Streamed(incoming) => Pin::new(incoming).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Streamed(incoming) => incoming.size_hint(),
        }
    }
}
