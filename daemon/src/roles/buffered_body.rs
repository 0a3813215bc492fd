use std::borrow::Cow;
use std::collections::VecDeque;

use crate::incoming_body::IncomingBody;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use crate::request_body::RequestBody;

/// Longest body that is buffered whole, so that the request can be sent again.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// Body of a request from a caller, buffered as far as retries need it.
#[derive(Debug)]
pub(super) enum BufferedBody {
    /// The whole body.
    Whole(Bytes),
    /// Beginning of a long body, and the rest as it arrives.
    Long(VecDeque<Bytes>, IncomingBody),
}

/// Reports why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BufferedBodyError {
    /// It is longer than the limit.
    TooLong,
    /// The connection broke before its end.
    Broken,
}

impl BufferedBody {
    /// Reads a body whole, or the beginning of one that is too long to buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds `max_bytes` or the connection breaks.
    pub async fn read(
        mut incoming: IncomingBody,
        max_bytes: u64,
    ) -> Result<Self, BufferedBodyError> {
        if incoming.size_hint().lower() > max_bytes {
            return Err(BufferedBodyError::TooLong);
        }
        let mut buffered = VecDeque::new();
        let mut length = 0;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| BufferedBodyError::Broken)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            length += bytes.len();
            buffered.push_back(bytes);
            if length as u64 > max_bytes {
                return Err(BufferedBodyError::TooLong);
            }
            if length > MAX_BUFFERED_BYTES {
                return Ok(Self::Long(buffered, incoming));
            }
        }
        let mut whole = BytesMut::with_capacity(length);
        buffered
            .iter()
            .for_each(|bytes| whole.extend_from_slice(bytes));
        Ok(Self::Whole(whole.freeze()))
    }

    /// Returns whether the body is buffered whole and can be sent again.
    pub fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the whole body, or the beginning of a long one, as input of the request fingerprint.
    /// It does not depend on the pieces in which the body arrived.
    pub fn prefix(&self) -> Cow<'_, [u8]> {
        let buffered = match self {
            Self::Whole(bytes) => return Cow::Borrowed(bytes),
            Self::Long(buffered, _) => buffered,
        };
        let mut prefix: Vec<u8> = buffered.iter().flatten().copied().collect();
        prefix.truncate(MAX_BUFFERED_BYTES);
        Cow::Owned(prefix)
    }

    /// Returns the body for one attempt. A long body can be taken once; after that it is empty.
    pub fn take(&mut self, max_bytes: u64) -> RequestBody {
        match std::mem::replace(self, Self::Whole(Bytes::new())) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                RequestBody::whole(bytes)
            }
            Self::Long(held, inner) => RequestBody::PartiallyRead {
                held,
                inner,
                remaining_bytes: max_bytes,
            },
        }
    }
}
