use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, Topology, TopologyError, TopologySettings};

/// Settings of one instance, read from a file of JSON with comments.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::Settings;
///
/// let error = Settings::parse("{ \"instance\": 7 }").unwrap_err();
/// assert!(error.to_string().contains("instance"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this instance in the topology.
    pub instance: String,
    /// Folder for state that must survive a restart; required on control replicas.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Shared secret with which instances authenticate to each other, at least
    /// [`MIN_SECRET_BYTES`] long.
    pub peer_secret: String,
    /// Operators that may send commands.
    pub operators: Vec<OperatorSettings>,
    /// Address of the platform's list of live and leaving instances.
    #[serde(default)]
    pub platform_list: Option<SocketAddr>,
    /// Time without contact with a peer after which it counts as out of reach.
    #[serde(default = "default_peer_timeout_ms")]
    pub peer_timeout_ms: u64,
    /// Duration of a configuration lease.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Time that a planned stop waits for requests in flight.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Time to live of a lookup answer at the caller.
    #[serde(default = "default_lookup_ttl_ms")]
    pub lookup_ttl_ms: u64,
    /// Maximum time after the first send within which a caller resends a request whose key has no
    /// token.
    #[serde(default = "default_resend_horizon_ms")]
    pub resend_horizon_ms: u64,
    /// Seed of the random number generator; if absent, the system provides one.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Minimum level of log lines: "trace", "debug", "info", "warning" or "error".
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Regions, availability zones, instances, services, upstreams and links of the system.
    pub topology: TopologySettings,
}

/// An operator and the token that authenticates it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name in the audit trail.
    pub name: String,
    /// Token that authenticates the operator, at least [`MIN_SECRET_BYTES`] long.
    pub token: String,
    /// Whether the operator may send queries only, and no changes.
    #[serde(default)]
    pub read_only: bool,
}

/// Minimum length of a secret or token in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// Reason why settings cannot be read or are invalid.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[display("settings file {} cannot be read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("settings are not JSON with comments: {reason}")]
    Syntax {
        /// Cause, with line and column.
        reason: String,
    },
    /// A field is missing or unknown, or its value is invalid.
    #[display("settings field {path}: {reason}")]
    Field {
        /// Path of the field.
        path: String,
        /// What is wrong with the field.
        reason: String,
    },
    /// The topology is invalid.
    #[display("settings field topology: {_0}")]
    Topology(TopologyError),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and what was expected there.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and what was expected there.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let value: Option<serde_json::Value> =
            jsonc_parser::parse_to_serde_value(text, &Default::default()).map_err(|error| {
                SettingsError::Syntax {
                    reason: error.to_string(),
                }
            })?;
        let value = value.ok_or_else(|| SettingsError::Syntax {
            reason: "the text is empty; expected an object".to_owned(),
        })?;
        let settings: Self =
            serde_path_to_error::deserialize(value).map_err(|error| SettingsError::Field {
                path: error.path().to_string(),
                reason: error.inner().to_string(),
            })?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values of the fields and how they depend on each other.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and what was expected there.
    pub fn check(&self) -> Result<(), SettingsError> {
        let topology = self.build_topology()?;
        let id = topology.instance_named(&self.instance).ok_or_else(|| {
            field_error(
                "instance",
                format!("{:?} is not an instance of the topology", self.instance),
            )
        })?;
        if topology.instance(id).control && self.data_folder.is_none() {
            let reason = format!("missing; control replica {:?} needs one", self.instance);
            return Err(field_error("data_folder", reason));
        }
        check_secret("peer_secret", &self.peer_secret)?;
        self.check_operators()?;
        self.check_numbers()?;
        self.check_stop()?;
        match self.log_level.as_str() {
            "trace" | "debug" | "info" | "warning" | "error" => Ok(()),
            other => Err(field_error(
                "log_level",
                format!(
                    "{other:?} is not a log level; expected trace, debug, info, warning or error"
                ),
            )),
        }
    }

    /// Builds the topology.
    ///
    /// # Errors
    ///
    /// Returns the first invalid entry.
    pub fn build_topology(&self) -> Result<Topology, SettingsError> {
        Topology::build(&self.topology).map_err(SettingsError::Topology)
    }

    /// Returns the key of this instance in a topology built from these settings.
    pub fn instance_id(&self, topology: &Topology) -> Option<InstanceId> {
        topology.instance_named(&self.instance)
    }

    fn check_operators(&self) -> Result<(), SettingsError> {
        for (index, operator) in self.operators.iter().enumerate() {
            if operator.name.is_empty() {
                let path = format!("operators[{index}].name");
                return Err(field_error(&path, "empty; expected a name".to_owned()));
            }
            check_secret(&format!("operators[{index}].token"), &operator.token)?;
            if self.operators[..index]
                .iter()
                .any(|other| other.name == operator.name)
            {
                let path = format!("operators[{index}].name");
                let reason = format!(
                    "{:?} is defined twice; expected a unique name",
                    operator.name
                );
                return Err(field_error(&path, reason));
            }
            let same_token = |other: &OperatorSettings| other.token == operator.token;
            if self.operators[..index].iter().any(same_token) {
                let path = format!("operators[{index}].token");
                return Err(field_error(
                    &path,
                    "also used by another operator; expected a unique token".to_owned(),
                ));
            }
        }
        Ok(())
    }

    /// Checks that a planned stop waits at least as long as the longest deadline of a service.
    fn check_stop(&self) -> Result<(), SettingsError> {
        let services = self.topology.services.iter();
        let Some(longest) = services.max_by_key(|service| service.deadline_ms) else {
            return Ok(());
        };
        if self.stop_ms >= longest.deadline_ms {
            return Ok(());
        }
        let reason = format!(
            "{} is shorter than the deadline of service {:?}; expected at least {}",
            self.stop_ms, longest.name, longest.deadline_ms
        );
        Err(field_error("stop_ms", reason))
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        let ranges = [
            ("peer_timeout_ms", self.peer_timeout_ms, 50, 60_000),
            ("lease_ms", self.lease_ms, 100, 600_000),
            ("stop_ms", self.stop_ms, 1, 3_600_000),
            ("lookup_ttl_ms", self.lookup_ttl_ms, 100, 3_600_000),
            (
                "resend_horizon_ms",
                self.resend_horizon_ms,
                1_000,
                86_400_000,
            ),
        ];
        for (path, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(field_error(
                    path,
                    format!("{value} is out of range; expected {least} to {most}"),
                ));
            }
        }
        Ok(())
    }
}

fn check_secret(path: &str, secret: &str) -> Result<(), SettingsError> {
    if secret.len() >= MIN_SECRET_BYTES {
        return Ok(());
    }
    let reason = format!(
        "{} bytes; expected at least {MIN_SECRET_BYTES}",
        secret.len()
    );
    Err(field_error(path, reason))
}

fn field_error(path: &str, reason: String) -> SettingsError {
    SettingsError::Field {
        path: path.to_owned(),
        reason,
    }
}

fn default_peer_timeout_ms() -> u64 {
    1_000
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_stop_ms() -> u64 {
    30_000
}

fn default_lookup_ttl_ms() -> u64 {
    5_000
}

fn default_resend_horizon_ms() -> u64 {
    600_000
}

fn default_log_level() -> String {
    "info".to_owned()
}
