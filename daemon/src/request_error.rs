use derive_more::{Display, Error};
use http::StatusCode;

/// Reports what is wrong with a caller's request. A request that is rejected for it did not run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No service is named.
    #[display("header laburnum-service is missing; expected the name of a service")]
    NoService,
    /// The service is not in the topology.
    #[display("service {name:?} does not exist")]
    UnknownService {
        /// Name as given.
        name: String,
    },
    /// The deadline is not a number in the accepted range.
    #[display("header laburnum-deadline-ms is {text:?}; expected a number from 1 to {max}")]
    BadDeadline {
        /// Text as given.
        text: String,
        /// Longest accepted deadline.
        max: u64,
    },
    /// The request id has a wrong length or characters that are not allowed.
    #[display("header laburnum-request-id must have 1 to 64 letters, digits, '-', '_' or '.'")]
    BadRequestId,
    /// The service requires a key.
    #[display(
        "service {service:?} requires header laburnum-key on requests that may not be repeated"
    )]
    KeyRequired {
        /// Name of the service.
        service: String,
    },
    /// The key is malformed.
    #[display("header laburnum-key: {reason}")]
    BadKey {
        /// What is wrong with the key, and the expected form.
        reason: String,
    },
    /// The key was used for another request.
    #[display("header laburnum-key was used for another request before; expected a new key")]
    KeyReused,
    /// The body is longer than the service allows.
    #[display("request body is longer than the {max_bytes} bytes that service {service:?} allows")]
    BodyTooLong {
        /// Name of the service.
        service: String,
        /// Longest accepted body.
        max_bytes: u64,
    },
    /// The body ended early or did not arrive before the deadline.
    #[display("request body ended early, or did not arrive before the deadline")]
    BodyIncomplete,
    /// Requests with this method are not forwarded.
    #[display("method {method} is not forwarded")]
    Method {
        /// Method as given.
        method: String,
    },
    /// A query field of a look-up is missing or malformed.
    #[display("query field {field:?} is {found:?}; expected {expected}")]
    Query {
        /// Name of the field.
        field: &'static str,
        /// Value as given.
        found: String,
        /// Expected form.
        expected: &'static str,
    },
    /// The path does not exist.
    #[display("path {path:?} does not exist; look-ups are at /laburnum/v1/lookup")]
    NoSuchPath {
        /// Path as given.
        path: String,
    },
}

impl RequestError {
    /// Returns the HTTP status that the caller gets.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::UnknownService { .. } | Self::NoSuchPath { .. } => StatusCode::NOT_FOUND,
            Self::KeyRequired { .. } => StatusCode::PRECONDITION_REQUIRED,
            Self::KeyReused => StatusCode::CONFLICT,
            Self::BodyTooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Method { .. } => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}
