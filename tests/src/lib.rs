//! Fakes at the interfaces of laburnumdeal, a harness that runs real daemons, and the fault matrix.
//!
//! ```
//! use laburnumdeal_tests::Ask;
//!
//! let ask = Ask::get("catalog", "/units?city=cairo").header("laburnum-deadline-ms", 500);
//! assert_eq!(ask.headers.len(), 2);
//! ```

mod behavior;
mod broken;
mod caller;
mod cluster;
mod fake_body;
mod fake_link;
mod fake_platform;
mod fake_upstream;
mod host;
mod loopback;
mod matrix;
mod operator;
mod plan;
mod process;
mod proof;
mod run_cells;
mod upstream_matrix;

pub use behavior::{Behavior, Fault};
pub use broken::Broken;
pub use caller::{Ask, Caller, Got, LookupAnswer, LookupInstance};
pub use cluster::{Cluster, PATIENCE, wait_until};
pub use fake_link::{FakeLink, LinkState};
pub use fake_platform::FakePlatform;
pub use fake_upstream::{DOWN_FOR, FakeUpstream, Run};
pub use host::{Host, INSTANCE_THREAD};
pub use loopback::Loopback;
pub use matrix::{MatrixRun, Place, RequestCell, RequestFault, request_cells};
pub use operator::Operator;
pub use plan::{OPERATOR_TOKEN, Plan, service};
pub use process::{Process, Signal, binary};
pub use proof::proof_page;
pub use run_cells::run_cells;
pub use upstream_matrix::{RequestKind, UpstreamCell, UpstreamFault, UpstreamRun, upstream_cells};
