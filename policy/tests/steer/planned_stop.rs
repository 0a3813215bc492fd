//! Requests that arrive at each moment of a planned stop, with all time limits.

use std::time::Duration;

use laburnumdeal_policy::steer::PlannedStop;
use tokio::time::Instant;

/// Guards against LOST: a request is taken so late in a stop that it is cut off within its time limit,
/// or refused although its time is left.
#[test]
fn admit_takes_a_request_while_its_time_limit_is_left() {
    let now = Instant::now();
    for length_ms in [1_000, 2_700, 5_700, 9_700, 29_700] {
        let stop = PlannedStop::begin(Duration::from_millis(length_ms), now);
        for limit_ms in [1, 200, 800, 1_500, 3_000, 10_000, 60_000] {
            for at_ms in (0..=length_ms).step_by(100) {
                let at = now + Duration::from_millis(at_ms);
                let admitted = stop.admit(at + Duration::from_millis(limit_ms), at);
                let left_ms = length_ms - at_ms;
                let is_enough = left_ms >= limit_ms.min(length_ms / 2);
                let expected = at + Duration::from_millis(limit_ms.min(left_ms));
                assert_eq!(
                    admitted,
                    is_enough.then_some(expected),
                    "{limit_ms} ms at {at_ms} of {length_ms} ms"
                );
            }
        }
    }
}
