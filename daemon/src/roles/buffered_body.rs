use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::request_body::RequestBody;

/// Longest body that is held whole, so that the request can be sent again.
const HOLD_BYTES: usize = 128 * 1024;

/// Body of a request from a caller.
#[derive(Debug)]
pub(super) enum BufferedBody {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and the rest as it arrives.
    Long(VecDeque<Bytes>, Incoming),
}

/// Reports why there is no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BufferedBodyError {
    /// It is longer than the limit.
    TooLong,
    /// It broke off.
    Broken,
}

impl BufferedBody {
    /// Reads a body, or the beginning of a long one.
    pub async fn read(mut incoming: Incoming, most_bytes: u64) -> Result<Self, BufferedBodyError> {
        if incoming.size_hint().lower() > most_bytes {
            return Err(BufferedBodyError::TooLong);
        }
        let mut held = VecDeque::new();
        let mut length = 0;
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| BufferedBodyError::Broken)?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            length += bytes.len();
            held.push_back(bytes);
            if length as u64 > most_bytes {
                return Err(BufferedBodyError::TooLong);
            }
            if length > HOLD_BYTES {
                return Ok(Self::Long(held, incoming));
            }
        }
        let mut whole = BytesMut::with_capacity(length);
        held.iter().for_each(|bytes| whole.extend_from_slice(bytes));
        Ok(Self::Whole(whole.freeze()))
    }

    /// Returns whether the body can be sent again.
    pub fn can_repeat(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the bytes that are held, for a fingerprint.
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) => bytes,
            Self::Long(held, _) => held.front().map_or(&[], |bytes| bytes),
        }
    }

    /// Returns the body for one attempt; a long one is given once.
    pub fn take(&mut self, most_bytes: u64) -> RequestBody {
        match std::mem::replace(self, Self::Whole(Bytes::new())) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                RequestBody::whole(bytes)
            }
            Self::Long(held, inner) => RequestBody::Resumed {
                held,
                inner,
                remaining_bytes: most_bytes,
            },
        }
    }
}
