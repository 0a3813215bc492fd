//! Tests of reading and checking settings.

use laburnumdeal_model::{EMBEDDED_TOPOLOGY, Settings, Topology, TopologyError, embedded_topology};

fn settings_text(instance: &str, extra: &str) -> String {
    format!(
        "{{ // A comment.
        \"instance\": \"{instance}\", \"peer_secret\": \"0123456789abcdef\",
        \"operators\": [{{ \"name\": \"nadia\", \"token\": \"0123456789abcdef\" }}],
        {extra}
        \"topology\": {EMBEDDED_TOPOLOGY} }}"
    )
}

fn parse_error(instance: &str, extra: &str) -> String {
    Settings::parse(&settings_text(instance, extra))
        .unwrap_err()
        .to_string()
}

#[test]
fn parse_comments_are_allowed() {
    let settings = Settings::parse(&settings_text("nasr-2", "")).unwrap();
    assert_eq!(settings.instance, "nasr-2");
}

#[test]
fn parse_unknown_field_is_named() {
    assert!(parse_error("nasr-2", "\"colour\": 1,").contains("colour"));
}

#[test]
fn parse_wrong_type_names_path() {
    let message = parse_error("nasr-2", "\"lease_ms\": \"long\",");
    assert!(message.starts_with("settings field lease_ms:"), "{message}");
}

#[test]
fn parse_control_without_folder_is_refused() {
    assert!(parse_error("nasr-1", "").contains("data_folder"));
    assert!(Settings::parse(&settings_text("nasr-1", "\"data_folder\": \"d\",")).is_ok());
}

#[test]
fn parse_unknown_instance_is_named() {
    assert!(parse_error("tanta-1", "").contains("\"tanta-1\" is not an instance"));
}

#[test]
fn parse_lease_out_of_range_says_range() {
    assert!(parse_error("nasr-2", "\"lease_ms\": 5,").contains("expected 100 to 600000"));
}

#[test]
fn build_duplicate_upstream_is_named() {
    let mut settings = embedded_topology();
    settings.upstreams[1].name = settings.upstreams[0].name.clone();
    let error = Topology::build(&settings).unwrap_err();
    assert!(matches!(error, TopologyError::Duplicate { .. }));
}

#[test]
fn build_two_control_replicas_is_refused() {
    let mut settings = embedded_topology();
    settings.instances[1].control = true;
    assert_eq!(
        Topology::build(&settings).unwrap_err(),
        TopologyError::ControlCount { count: 2 }
    );
}

#[test]
fn parse_stop_shorter_than_deadline_names_service() {
    let message = parse_error("nasr-2", "\"stop_ms\": 4999,");
    assert!(
        message.contains("shorter than the deadline of service"),
        "{message}"
    );
    assert!(Settings::parse(&settings_text("nasr-2", "\"stop_ms\": 5000,")).is_ok());
}

#[test]
fn build_link_defined_twice_is_named() {
    let mut settings = embedded_topology();
    settings.links[1] = settings.links[0].clone();
    let error = Topology::build(&settings).unwrap_err();
    assert!(matches!(error, TopologyError::BadLink { .. }), "{error}");
}

#[test]
fn parse_operator_defined_twice_is_named() {
    let mut settings = Settings::parse(&settings_text("nasr-2", "")).unwrap();
    let mut again = settings.operators[0].clone();
    again.token.push('x');
    settings.operators.push(again);
    let message = settings.check().unwrap_err().to_string();
    assert!(message.contains("\"nadia\" is defined twice"), "{message}");
}
