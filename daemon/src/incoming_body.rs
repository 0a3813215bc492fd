use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::From;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::byte_meter::ByteMeter;

/// Body of a request that a server received.
#[derive(Debug, From)]
pub enum IncomingBody {
    /// The request has none.
    #[from(ignore)]
    Empty,
    /// Arrives on the connection of the request.
    Streamed(Incoming),
    /// Arrives in the same way, and is counted as it does.
    #[from(ignore)]
    Metered(Incoming, ByteMeter),
}

impl IncomingBody {
    /// Counts the bytes of the body as they arrive.
    pub fn metered(self, meter: ByteMeter) -> Self {
        match self {
            Self::Streamed(incoming) => Self::Metered(incoming, meter),
            other => other,
        }
    }
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
            Self::Metered(incoming, meter) => {
                let frame = ready!(Pin::new(incoming).poll_frame(cx));
                let data = frame
                    .as_ref()
                    .and_then(|frame| frame.as_ref().ok()?.data_ref());
                meter.add(data.map_or(0, |data| data.len() as u64));
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Streamed(incoming) | Self::Metered(incoming, _) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Streamed(incoming) | Self::Metered(incoming, _) => incoming.size_hint(),
        }
    }
}
