use crate::TopologySettings;

/// Text of the embedded topology, in JSON with comments.
pub const EMBEDDED_TOPOLOGY: &str = include_str!("embedded_topology.jsonc");

/// Returns the small topology that the demo and the examples run on.
///
/// # Examples
///
/// ```
/// let settings = laburnumdeal_model::embedded_topology();
/// assert_eq!(settings.instances.len(), 3);
/// ```
pub fn embedded_topology() -> TopologySettings {
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(EMBEDDED_TOPOLOGY, &Default::default())
            .expect("the embedded topology is JSON with comments");
    serde_json::from_value(value.expect("the embedded topology is not empty"))
        .expect("the embedded topology has every field")
}
