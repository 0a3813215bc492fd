//! Test support: fake upstreams and links, a harness that runs real daemons, and fault matrices.
//!
//! ```
//! use laburnumdeal_tests::CallerRequest;
//!
//! let request = CallerRequest::get("catalog", "/units").header("laburnum-deadline-ms", 500);
//! assert_eq!(request.headers.len(), 2);
//! ```

mod behavior;
mod caller;
mod cluster;
mod fake_body;
mod fake_link;
mod fake_platform;
mod fake_upstream;
mod host;
mod loopback;
mod operator;
mod plan;
mod process;
mod proof;
mod request_matrix;
mod run_cells;
mod upstream_matrix;
mod violation;

pub use behavior::{Behavior, Fault};
pub use caller::{Caller, CallerRequest, CallerResponse, LookupAnswer, LookupInstance};
pub use cluster::{Cluster, WAIT_TIMEOUT, wait_until};
pub use fake_link::{FakeLink, LinkState};
pub use fake_platform::FakePlatform;
pub use fake_upstream::{DEFAULT_DOWNTIME, FakeUpstream, Run};
pub use host::{Host, INSTANCE_THREAD_NAME};
pub use loopback::Loopback;
pub use operator::Operator;
pub use plan::{OPERATOR_TOKEN, Plan, service};
pub use process::{Process, Signal, binary};
pub use proof::proof_page;
pub use request_matrix::{KeyRole, RequestCell, RequestFault, RequestRun, request_cells};
pub use run_cells::run_cells;
pub use upstream_matrix::{RequestKind, UpstreamCell, UpstreamFault, UpstreamRun, upstream_cells};
pub use violation::Violation;
