use std::time::Duration;

use laburnumdeal_policy::steer::{HelperInstances, HelperOutcome, InstanceRecord};
use tokio::time::Instant;

fn record(number: u8, region: &str) -> InstanceRecord {
    InstanceRecord {
        name: format!("e-{number}"),
        region: region.into(),
        address: Some([10, 0, 0, number].into()),
    }
}

fn helpers(records: &[InstanceRecord]) -> HelperInstances {
    let mut helpers = HelperInstances::new("e-1", "a");
    helpers.update(records);
    helpers
}

#[test]
fn choose_spreads_over_the_instances_of_the_region() {
    let now = Instant::now();
    let mut helpers = helpers(&[
        record(1, "a"),
        record(2, "a"),
        record(3, "a"),
        record(4, "b"),
    ]);
    let mut chosen = Vec::new();
    for _ in 0..6 {
        let key = helpers.choose(&[], &[], now).unwrap();
        helpers.begin(key);
        chosen.push(helpers.name(key).to_owned());
    }
    let count = |name: &str| chosen.iter().filter(|chosen| *chosen == name).count();
    assert_eq!(
        (count("e-1"), count("e-2"), count("e-3"), count("e-4")),
        (0, 3, 3, 0)
    );
}

#[test]
fn choose_region_whose_instances_cannot_forward_uses_another() {
    let now = Instant::now();
    let mut helpers = helpers(&[record(2, "a"), record(4, "b")]);
    let near = helpers.choose(&[], &[], now).unwrap();
    helpers.begin(near);
    helpers.end(near, HelperOutcome::Failed, now);
    let far = helpers.choose(&[], &[], now).unwrap();
    assert_eq!(helpers.name(far), "e-4");
    let later = now + Duration::from_secs(2);
    assert_eq!(
        helpers.choose(&[], &[], later),
        Some(near),
        "it is tried again"
    );
    assert_eq!(
        helpers.choose(&[], &[near], later),
        Some(far),
        "not twice for a request"
    );
}

#[test]
fn choose_request_bound_to_regions_leaves_none_of_them() {
    let now = Instant::now();
    let helpers = helpers(&[record(2, "a"), record(4, "b")]);
    let bound = helpers.choose(&["b".to_owned()], &[], now).unwrap();
    assert_eq!(helpers.name(bound), "e-4");
    assert_eq!(helpers.choose(&["c".to_owned()], &[], now), None);
}

#[test]
fn update_instance_that_is_gone_or_without_address_is_not_chosen() {
    let now = Instant::now();
    let mut helpers = helpers(&[record(2, "a")]);
    let unknown = InstanceRecord {
        address: None,
        ..record(3, "a")
    };
    helpers.update(&[unknown]);
    assert_eq!(helpers.choose(&[], &[], now), None);
    assert_eq!(helpers.count(), 0);
    assert!(!helpers.is_known([10, 0, 0, 2].into()));
}

// Guards against: after each change of the configuration all helpers are passed over for seconds.
#[test]
fn choose_instance_with_an_older_configuration_is_used_again_soon() {
    let now = Instant::now();
    let mut helpers = helpers(&[record(2, "a")]);
    let key = helpers.choose(&[], &[], now).unwrap();
    helpers.begin(key);
    helpers.end(key, HelperOutcome::Behind, now);
    assert_eq!(helpers.choose(&[], &[], now), None);
    let later = now + Duration::from_millis(100);
    assert_eq!(helpers.choose(&[], &[], later), Some(key));
}
