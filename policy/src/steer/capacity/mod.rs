//! What upstreams take well, learned from their answers: how much longer they take while more of
//! their slots are in use, and how fast each of them is.

mod load_curve;
mod quartile;
mod running_attempt;
mod shared_speed;
mod slow_upstream;
mod speed_sample;
mod speed_store;
mod speeds;
mod upstream_speed;
mod usual_time;

pub use load_curve::LoadCurve;
pub use quartile::Quartile;
pub use shared_speed::SharedSpeed;
pub use slow_upstream::SlowUpstream;
pub use speed_sample::SpeedSample;
pub use speed_store::SpeedStore;
pub(super) use upstream_speed::UpstreamSpeed;
pub use usual_time::UsualTime;
