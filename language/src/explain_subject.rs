use std::fmt;
use std::net::IpAddr;

use crate::quote::Quoted;

/// Request whose routing `explain` explains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainSubject {
    /// Request that a caller would send now.
    Caller {
        /// Service that is called.
        service: String,
        /// Address of the caller.
        address: IpAddr,
        /// Idempotency key of a request that must run at most once.
        key: Option<String>,
    },
    /// Past request.
    Request {
        /// Id of the request.
        id: String,
    },
}

impl fmt::Display for ExplainSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request { id } => write!(f, "request {}", Quoted(id)),
            Self::Caller {
                service,
                address,
                key,
            } => {
                write!(f, "{service} from {address}")?;
                match key {
                    Some(key) => write!(f, " key {}", Quoted(key)),
                    None => Ok(()),
                }
            }
        }
    }
}
