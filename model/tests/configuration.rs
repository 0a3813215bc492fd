//! Tests of changes to the configuration.

use laburnumdeal_model::{
    Change, Configuration, NameKind, Refusal, Target, Topology, Version, embedded_topology,
};

fn topology() -> Topology {
    Topology::build(&embedded_topology()).unwrap()
}

fn drain(target: Target, step_permille: u16) -> Change {
    Change::Drain {
        target,
        at_ms: 1_000,
        for_ms: 0,
        step_permille,
        every_ms: 500,
    }
}

#[test]
fn apply_unknown_upstream_is_refused() {
    let change = Change::Allow {
        service: "catalog".into(),
        upstreams: vec!["nowhere".into()],
    };
    let refusal = Configuration::default()
        .apply(&change, &topology(), 0, false)
        .unwrap_err();
    let expected = Refusal::UnknownName {
        kind: NameKind::Upstream,
        name: "nowhere".into(),
    };
    assert_eq!(refusal, expected);
}

#[test]
fn apply_upstream_of_other_service_is_refused() {
    let upstreams = vec!["gatekeeper-nasr-1".into()];
    let change = Change::Allow {
        service: "catalog".into(),
        upstreams,
    };
    let refusal = Configuration::default()
        .apply(&change, &topology(), 0, true)
        .unwrap_err();
    assert!(matches!(refusal, Refusal::WrongService { .. }));
}

#[test]
fn apply_drain_of_last_upstream_needs_force() {
    let topology = topology();
    let first = drain(Target::Zone("nasr".into()), 1000);
    let second = drain(Target::Region("alexandria".into()), 1000);
    let configuration = Configuration::default()
        .apply(&first, &topology, 0, false)
        .unwrap();
    let refusal = configuration
        .apply(&second, &topology, 0, false)
        .unwrap_err();
    assert_eq!(
        refusal,
        Refusal::NoRoom {
            service: "catalog".into()
        }
    );
    assert!(configuration.apply(&second, &topology, 0, true).is_ok());
}

#[test]
fn apply_step_before_schedule_is_refused() {
    let topology = topology();
    let target = Target::Zone("nasr".into());
    let step = |moved_permille| Change::DrainStep {
        target: target.clone(),
        moved_permille,
    };
    let configuration = Configuration::default()
        .apply(&drain(target.clone(), 100), &topology, 0, false)
        .unwrap();
    assert!(
        configuration
            .apply(&step(100), &topology, 999, false)
            .is_err()
    );
    let after_first_step = configuration
        .apply(&step(100), &topology, 1_000, false)
        .unwrap();
    assert!(
        after_first_step
            .apply(&step(200), &topology, 1_499, false)
            .is_err()
    );
    assert!(
        after_first_step
            .apply(&step(201), &topology, 1_500, false)
            .is_err()
    );
    assert!(
        after_first_step
            .apply(&step(200), &topology, 1_500, false)
            .is_ok()
    );
}

#[test]
fn apply_drain_again_keeps_moved_permille() {
    let topology = topology();
    let target = Target::Upstream("catalog-nasr-1".into());
    let step = Change::DrainStep {
        target: target.clone(),
        moved_permille: 100,
    };
    let configuration = Configuration::default()
        .apply(&drain(target.clone(), 100), &topology, 0, false)
        .and_then(|c| c.apply(&step, &topology, 1_000, false))
        .and_then(|c| c.apply(&drain(target.clone(), 50), &topology, 2_000, false))
        .unwrap();
    assert_eq!(
        configuration.moved_permille("catalog-nasr-1", "nasr", "cairo"),
        100
    );
    assert_eq!(configuration.version, Version(3));
}

#[test]
fn apply_cap_above_intake_is_refused() {
    let change = Change::CapRegion {
        region: "cairo".into(),
        requests_per_s: 2_001,
    };
    let refusal = Configuration::default()
        .apply(&change, &topology(), 0, false)
        .unwrap_err();
    assert!(matches!(refusal, Refusal::TooHigh { most: 2_000, .. }));
}

#[test]
fn digest_does_not_depend_on_steering_order() {
    let topology = topology();
    let steer = |block: &str| Change::Steer {
        blocks: vec![block.parse().unwrap()],
        zones: vec!["nasr".into()],
    };
    let steered_to_nasr = |first: &str, second: &str| {
        Configuration::default()
            .apply(&steer(first), &topology, 0, false)
            .and_then(|c| c.apply(&steer(second), &topology, 0, false))
            .unwrap()
    };
    let in_one_order = steered_to_nasr("10.0.0.0/8", "fd00::/8");
    assert_eq!(
        in_one_order.digest(),
        steered_to_nasr("fd00::/8", "10.0.0.0/8").digest()
    );
    assert_ne!(
        in_one_order.digest(),
        steered_to_nasr("10.0.0.0/8", "10.0.0.0/9").digest()
    );
}
