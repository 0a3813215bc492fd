//! Fakes at the interfaces of laburnumdeal, a harness that runs real daemons, and the fault matrix.
//!
//! ```
//! use laburnumdeal_tests::Ask;
//!
//! let ask = Ask::get("catalog", "/units?city=cairo").header("laburnum-deadline-ms", 500);
//! assert_eq!(ask.headers.len(), 2);
//! ```

mod behavior;
mod caller;
mod fake_link;
mod fake_platform;
mod fake_upstream;
mod loopback;

pub use behavior::{Behavior, Fault};
pub use caller::{Ask, Caller, Got, LookupAnswer, LookupInstance};
pub use fake_link::{FakeLink, LinkState};
pub use fake_platform::FakePlatform;
pub use fake_upstream::{DOWN_FOR, FakeUpstream, Run};
pub use loopback::Loopback;
