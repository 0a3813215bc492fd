use std::fmt;
use std::net::IpAddr;

use crate::quote::Quoted;

/// What `explain` gives the reasons for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExplainSubject {
    /// Where a request of a caller would go now.
    Caller {
        /// Service that is called.
        service: String,
        /// Address of the caller.
        address: IpAddr,
        /// Key of a request that may not be repeated.
        key: Option<String>,
    },
    /// Where a past request went.
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
