//! Checks that the settings page states all fields, defaults and ranges of the code.

use laburnumdeal_model::{MIN_SECRET_BYTES, Settings};
use laburnumdeal_tests::{Loopback, Plan};
use serde::Serialize;
use serde_json::Value;

const PAGE: &str = include_str!("../../docs/operators/settings.md");

/// Returns settings with at least one entry in each list.
fn settings() -> Settings {
    let plan = Plan::default();
    let topology = plan.topology(&mut Loopback::new());
    plan.settings(&topology, "nasr-1")
}

/// Returns the names of the fields of a value in JSON, including those that are `None`.
fn fields(value: &impl Serialize) -> Vec<String> {
    let value = serde_json::to_value(value).unwrap();
    let Value::Object(object) = value else {
        panic!("{value} is not a JSON object");
    };
    object.keys().cloned().collect()
}

/// Returns the rows of the table below a heading, each with the name of its field.
fn rows(heading: &str) -> Vec<(String, String)> {
    let start = format!("{heading}\n");
    let (_, rest) = PAGE.split_once(&start).expect("the page has the heading");
    let section = rest.split("\n#").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|line| {
        let field = line.split('`').nth(1).unwrap_or_default();
        (field.to_owned(), line.to_owned())
    })
    .collect()
}

fn check(heading: &str, value: &impl Serialize) {
    let mut expected = fields(value);
    let mut found: Vec<String> = rows(heading).into_iter().map(|(field, _)| field).collect();
    expected.sort();
    found.sort();
    assert_eq!(found, expected, "rows below {heading:?}");
}

#[test]
fn page_process_has_every_field() {
    check("## The process", &settings());
}

#[test]
fn page_operator_has_every_field() {
    check("### One entry of `operators`", &settings().operators[0]);
}

#[test]
fn page_topology_has_every_field() {
    let topology = settings().topology;
    check("## The topology", &topology);
    check("### One entry of `regions`", &topology.regions[0]);
    check("### One entry of `zones`", &topology.zones[0]);
    check("### One entry of `instances`", &topology.instances[0]);
    check("### One entry of `services`", &topology.services[0]);
    check("### One entry of `upstreams`", &topology.upstreams[0]);
    check("### One entry of `links`", &topology.links[0]);
}

/// Returns a cell of a field's row without surrounding backticks.
fn cell(heading: &str, field: &str, position: usize) -> String {
    let rows = rows(heading);
    let (_, row) = rows.iter().find(|(found, _)| found == field).unwrap();
    let cell = row.split('|').nth(position).unwrap_or_default();
    cell.trim().trim_matches('`').to_owned()
}

/// Returns settings parsed from a text without the fields that have defaults.
fn minimal_settings() -> Settings {
    let text = r#"{
        "instance": "a", "data_folder": "d", "peer_secret": "0123456789abcdef",
        "operators": [{ "name": "o", "token": "0123456789abcdef" }],
        "topology": {
            "regions": [{ "name": "r", "intake_per_s": 1 }],
            "zones": [{ "name": "z", "region": "r" }],
            "instances": [{
                "name": "a", "zone": "z", "control": true, "caller_address": "127.0.0.1:1",
                "peer_address": "127.0.0.1:2", "operator_address": "127.0.0.1:3"
            }],
            "services": [{ "name": "s" }],
            "upstreams": [{
                "name": "u", "service": "s", "zone": "z", "address": "127.0.0.1:4", "slots": 1
            }]
        }
    }"#;
    Settings::parse(text).unwrap()
}

/// Checks the default of each field of a value against the page; the fields in `required` have
/// none.
fn check_defaults(heading: &str, value: &impl Serialize, required: &[&str]) {
    let value = serde_json::to_value(value).unwrap();
    for field in fields(&value) {
        let shown = cell(heading, &field, 3);
        if required.contains(&field.as_str()) {
            assert_eq!(shown, "required", "{field}");
        } else if !value[&field].is_null() && !value[&field].is_array() {
            assert_eq!(shown, value[&field].to_string(), "{field}");
        }
    }
}

#[test]
fn page_defaults_are_those_of_the_code() {
    let settings = minimal_settings();
    let mut process = settings.clone();
    process.data_folder = None;
    check_defaults(
        "## The process",
        &process,
        &["instance", "peer_secret", "operators", "topology"],
    );
    let topology = &settings.topology;
    check_defaults(
        "### One entry of `operators`",
        &settings.operators[0],
        &["name", "token"],
    );
    check_defaults(
        "### One entry of `services`",
        &topology.services[0],
        &["name"],
    );
    let required = ["name", "service", "zone", "address", "slots"];
    check_defaults(
        "### One entry of `upstreams`",
        &topology.upstreams[0],
        &required,
    );
}

/// Returns the minimum and maximum that the row of a field states.
fn range(field: &str) -> (u64, u64) {
    let text = cell("## The process", field, 4);
    let (min, max) = text.split_once(" to ").expect("the row has a range");
    (min.parse().unwrap(), max.parse().unwrap())
}

#[test]
fn page_ranges_are_those_of_the_code() {
    type Set = fn(&mut Settings, u64);
    let fields: [(&str, Set); 5] = [
        ("peer_timeout_ms", |settings, value| {
            settings.peer_timeout_ms = value
        }),
        ("lease_ms", |settings, value| settings.lease_ms = value),
        ("stop_ms", |settings, value| settings.stop_ms = value),
        ("lookup_ttl_ms", |settings, value| {
            settings.lookup_ttl_ms = value
        }),
        ("resend_horizon_ms", |settings, value| {
            settings.resend_horizon_ms = value
        }),
    ];
    let named = rows("## The process");
    let has_range = |field: &str| cell("## The process", field, 4).contains(" to ");
    let ranged = named
        .iter()
        .filter(|(field, _)| has_range(field) && field != "seed");
    assert_eq!(ranged.count(), fields.len(), "rows with a range");
    for (field, set) in fields {
        let (min, max) = range(field);
        let accepts = |value: u64| {
            let mut settings = minimal_settings();
            // `stop_ms` may not be shorter than the longest deadline of a service.
            settings.topology.services[0].deadline_ms = 1;
            set(&mut settings, value);
            settings.check().is_ok()
        };
        assert!(accepts(min) && accepts(max), "{field}");
        assert!(!accepts(max + 1), "{field}");
        assert!(min == 0 || !accepts(min - 1), "{field}");
    }
}

#[test]
fn page_secret_has_the_shortest_length_of_the_code() {
    let shortest = format!("{} bytes or more", MIN_SECRET_BYTES);
    assert!(cell("## The process", "peer_secret", 4).starts_with(&shortest));
    assert!(cell("### One entry of `operators`", "token", 4).starts_with(&shortest));
}
