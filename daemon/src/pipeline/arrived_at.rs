use http::Extensions;
use tokio::time::Instant;

/// Time at which the head of a request had arrived, as an extension of the request. A request that
/// was sent behind others is handled later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivedAt(pub Instant);

impl ArrivedAt {
    /// Returns when a request arrived; now if that was not recorded.
    pub fn of(extensions: &Extensions) -> Instant {
        let arrived_at = extensions.get::<Self>();
        arrived_at.map_or_else(Instant::now, |arrived_at| arrived_at.0)
    }
}
