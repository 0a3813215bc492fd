use std::borrow::Cow;
use std::collections::VecDeque;

use crate::incoming_body::IncomingBody;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

use crate::long_body::LongBody;
use crate::request_body::RequestBody;

/// Longest body of unknown length that is buffered whole.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;

/// Body of a request from a caller, buffered as far as retries need it.
#[derive(Debug)]
pub(super) enum BufferedBody {
    /// The whole body, for any number of attempts.
    Whole(Bytes),
    /// Long body, for one attempt that sends it.
    Long(LongBody),
    /// Long body of which an attempt may have sent a part, so that no other one can send it.
    Spent,
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
    /// Reads a body of up to `buffered_bytes` whole, or the beginning of one that is longer; one of
    /// unknown length up to [`MAX_BUFFERED_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds `max_bytes` or the connection breaks.
    pub async fn read(
        mut incoming: IncomingBody,
        max_bytes: u64,
        buffered_bytes: usize,
    ) -> Result<Self, BufferedBodyError> {
        if incoming.size_hint().lower() > max_bytes {
            return Err(BufferedBodyError::TooLong);
        }
        // Only a body of a known length is sure to keep within the limit.
        let is_known = incoming.size_hint().exact().is_some();
        let buffered_bytes = if is_known {
            buffered_bytes
        } else {
            MAX_BUFFERED_BYTES.max(buffered_bytes)
        };
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
            if length > buffered_bytes {
                let remaining_bytes = max_bytes - length as u64;
                return Ok(Self::Long(LongBody::new(
                    buffered,
                    incoming,
                    remaining_bytes,
                )));
            }
        }
        let mut whole = BytesMut::with_capacity(length);
        buffered
            .iter()
            .for_each(|bytes| whole.extend_from_slice(bytes));
        Ok(Self::Whole(whole.freeze()))
    }

    /// Returns whether an attempt can send the body.
    pub fn can_be_sent(&self) -> bool {
        !matches!(self, Self::Spent)
    }

    /// Returns the whole body, or the beginning of a long one, as input of the request fingerprint.
    /// It does not depend on the pieces in which the body arrived.
    pub fn prefix(&self, buffered_bytes: usize) -> Cow<'_, [u8]> {
        let held = match self {
            Self::Whole(bytes) => return Cow::Borrowed(bytes),
            Self::Long(body) => body.held(),
            Self::Spent => return Cow::default(),
        };
        let mut prefix: Vec<u8> = held.iter().flatten().copied().collect();
        prefix.truncate(buffered_bytes);
        Cow::Owned(prefix)
    }

    /// Returns the body for one attempt, or `None` if an earlier one may have sent a part of it. A
    /// long body is spent unless it is [restored](Self::restore).
    pub fn take(&mut self) -> Option<RequestBody> {
        match std::mem::replace(self, Self::Spent) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Some(RequestBody::whole(bytes))
            }
            Self::Long(body) => Some(RequestBody::Long(body)),
            Self::Spent => None,
        }
    }

    /// Takes back the body of an attempt that sent no byte of it.
    pub fn restore(&mut self, unsent: RequestBody) {
        if let RequestBody::Long(body) = unsent {
            *self = Self::Long(body);
        }
    }
}
