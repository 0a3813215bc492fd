use std::fmt;

use ipnet::IpNet;
use laburnumdeal_model::Change;

use crate::{ByteRate, DurationMs, Share, UtcTime};

/// Canonical text of a change in the command language.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::ChangeText;
/// use laburnumdeal_model::Change;
///
/// let change = Change::CapRegion { region: "cairo".into(), requests_per_s: 900 };
/// assert_eq!(ChangeText(&change).to_string(), "cap region cairo at 900 per s");
/// ```
pub struct ChangeText<'a>(pub &'a Change);

impl fmt::Display for ChangeText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Change::Allow { service, upstreams } => {
                write!(f, "allow {service} upstreams {}", upstreams.join(", "))
            }
            Change::Drain {
                target,
                at_ms,
                for_ms,
                step_permille,
                every_ms,
            } => {
                write!(f, "drain {target} at {}", UtcTime(*at_ms))?;
                if *for_ms > 0 {
                    write!(f, " for {}", DurationMs(*for_ms))?;
                }
                let every = DurationMs(*every_ms);
                write!(f, " by {} every {every}", Share(*step_permille))
            }
            Change::CapShift {
                service,
                requests_per_s,
            } => write!(f, "cap shift {service} at {requests_per_s} per s"),
            Change::CapRegion {
                region,
                requests_per_s,
            } => write!(f, "cap region {region} at {requests_per_s} per s"),
            Change::CapLink {
                from,
                to,
                bytes_per_s,
            } => write!(f, "cap link {from} to {to} at {}", ByteRate(*bytes_per_s)),
            Change::Steer { blocks, zones } => {
                write!(f, "steer {} to {}", join_blocks(blocks), zones.join(", "))
            }
            Change::DrainStep {
                target,
                moved_permille,
            } => write!(f, "step {target} to {}", Share(*moved_permille)),
            Change::Undrain { .. }
            | Change::Unsteer { .. }
            | Change::Items { .. }
            | Change::Revert { .. } => {
                write!(f, "{}", self.0)
            }
        }
    }
}

fn join_blocks(blocks: &[IpNet]) -> String {
    let texts: Vec<String> = blocks.iter().map(IpNet::to_string).collect();
    texts.join(", ")
}
