use std::sync::Arc;

use laburnumdeal_model::{Change, Configuration, Drain, Version};

/// Applies an accepted change to a configuration in place and sets its version. The change is not
/// validated again: the leader did so, and an audit record must keep its effect even under later
/// settings that would refuse the change.
///
/// Returns false, and changes nothing, for [`Change::Revert`], which needs the contents of the
/// earlier version.
///
/// # Examples
///
/// ```
/// use laburnumdeal_control::replay;
/// use laburnumdeal_model::{Change, Configuration, Version};
///
/// let mut configuration = Configuration::default();
/// let change = Change::CapShift { service: "catalog".into(), requests_per_s: 50 };
/// assert!(replay(&mut configuration, &change, 0, Version(1)));
/// assert_eq!(configuration.shift_caps["catalog"], 50);
/// ```
pub fn replay(
    configuration: &mut Configuration,
    change: &Change,
    at_ms: u64,
    version: Version,
) -> bool {
    if matches!(change, Change::Revert { .. }) {
        return false;
    }
    configuration.version = version;
    apply(configuration, change, at_ms);
    true
}

fn apply(configuration: &mut Configuration, change: &Change, now_ms: u64) {
    match change {
        Change::Allow { service, upstreams } => {
            let names = upstreams.iter().cloned().collect();
            configuration.allowed.insert(service.clone(), names);
        }
        Change::Drain {
            target,
            at_ms,
            for_ms,
            step_permille,
            every_ms,
        } => {
            let earlier = configuration.drains.get(target);
            let drain = Drain {
                at_ms: *at_ms,
                for_ms: *for_ms,
                step_permille: *step_permille,
                every_ms: *every_ms,
                moved_permille: earlier.map_or(0, |drain| drain.moved_permille),
                stepped_at_ms: 0,
            };
            configuration.drains.insert(target.clone(), drain);
        }
        Change::Undrain { target } => {
            configuration.drains.remove(target);
        }
        Change::DrainStep {
            target,
            moved_permille,
        } => {
            if let Some(drain) = configuration.drains.get_mut(target) {
                drain.moved_permille = *moved_permille;
                drain.stepped_at_ms = now_ms;
            }
        }
        Change::CapShift {
            service,
            requests_per_s,
        } => {
            let caps = &mut configuration.shift_caps;
            caps.insert(service.clone(), *requests_per_s);
        }
        Change::CapRegion {
            region,
            requests_per_s,
        } => {
            let caps = &mut configuration.region_caps;
            caps.insert(region.clone(), *requests_per_s);
        }
        Change::CapLink {
            from,
            to,
            bytes_per_s,
        } => {
            let link = (from.clone(), to.clone());
            configuration.link_caps.insert(link, *bytes_per_s);
        }
        Change::Steer { blocks, zones } => {
            let steering = Arc::make_mut(&mut configuration.steering);
            for block in blocks {
                steering.insert(*block, zones);
            }
        }
        Change::Unsteer { block } => {
            Arc::make_mut(&mut configuration.steering).remove(*block);
        }
        Change::Items { items } => {
            let current = Arc::make_mut(&mut configuration.items);
            for named in items {
                current.merge(named);
            }
        }
        Change::Revert { .. } => {}
    }
}
