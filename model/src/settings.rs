use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{InstanceId, Topology, TopologyError, TopologySettings};

/// Settings of one process, read from a file of JSON with comments.
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
    /// Folder for state that must survive; required on control replicas.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Secret that instances prove to each other, at least [`MIN_SECRET_BYTES`] long.
    pub peer_secret: String,
    /// Operators who may send commands.
    pub operators: Vec<OperatorSettings>,
    /// Address of the platform's list of live and leaving instances.
    #[serde(default)]
    pub platform_list: Option<SocketAddr>,
    /// Time after which a silent peer counts as out of reach.
    #[serde(default = "default_peer_timeout_ms")]
    pub peer_timeout_ms: u64,
    /// Time that a configuration lease lasts.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Time that a planned stop waits for requests in flight.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Time to live of a look-up's answer at the caller.
    #[serde(default = "default_lookup_ttl_ms")]
    pub lookup_ttl_ms: u64,
    /// Longest time after its first send in which a caller sends a key without a token again.
    #[serde(default = "default_resend_horizon_ms")]
    pub resend_horizon_ms: u64,
    /// Seed of the random choices; absent takes one from the system.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Least level of log lines: "trace", "debug", "info", "warning" or "error".
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Everything that exists.
    pub topology: TopologySettings,
}

/// One operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name in the audit trail.
    pub name: String,
    /// Token that proves the operator, at least [`MIN_SECRET_BYTES`] long.
    pub token: String,
    /// Whether the operator may only ask.
    #[serde(default)]
    pub read_only: bool,
}

/// Shortest accepted secret.
pub const MIN_SECRET_BYTES: usize = 16;

/// Reports what is wrong in settings.
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
    /// A field is missing, unknown or of another type.
    #[display("settings field {path}: {reason}")]
    Field {
        /// Path of the field.
        path: String,
        /// Cause.
        reason: String,
    },
    /// The topology is inconsistent.
    #[display("settings field topology: {_0}")]
    Topology(TopologyError),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first field that is wrong, with the expected form.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings text.
    ///
    /// # Errors
    ///
    /// Returns the first field that is wrong, with the expected form.
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

    /// Checks every field against the others.
    ///
    /// # Errors
    ///
    /// Returns the first field that is wrong, with the expected form.
    pub fn check(&self) -> Result<(), SettingsError> {
        let topology = self.build_topology()?;
        let id = topology.instance_named(&self.instance).ok_or_else(|| {
            field(
                "instance",
                format!("{:?} is not an instance of the topology", self.instance),
            )
        })?;
        if topology.instance(id).control && self.data_folder.is_none() {
            let reason = format!("missing; control replica {:?} needs one", self.instance);
            return Err(field("data_folder", reason));
        }
        check_secret("peer_secret", &self.peer_secret)?;
        self.check_operators()?;
        self.check_numbers()?;
        self.check_stop()?;
        match self.log_level.as_str() {
            "trace" | "debug" | "info" | "warning" | "error" => Ok(()),
            other => Err(field(
                "log_level",
                format!("{other:?} is no level; expected trace, debug, info, warning or error"),
            )),
        }
    }

    /// Builds the topology.
    ///
    /// # Errors
    ///
    /// Returns the first entry that is inconsistent.
    pub fn build_topology(&self) -> Result<Topology, SettingsError> {
        Topology::build(&self.topology).map_err(SettingsError::Topology)
    }

    /// Returns this process's key in a topology built from these settings.
    pub fn instance_id(&self, topology: &Topology) -> Option<InstanceId> {
        topology.instance_named(&self.instance)
    }

    fn check_operators(&self) -> Result<(), SettingsError> {
        for (index, operator) in self.operators.iter().enumerate() {
            if operator.name.is_empty() {
                let path = format!("operators[{index}].name");
                return Err(field(&path, "empty; expected a name".to_owned()));
            }
            check_secret(&format!("operators[{index}].token"), &operator.token)?;
            if self.operators[..index]
                .iter()
                .any(|other| other.name == operator.name)
            {
                let path = format!("operators[{index}].name");
                let reason = format!("{:?} is defined twice", operator.name);
                return Err(field(&path, reason));
            }
            let same_token = |other: &OperatorSettings| other.token == operator.token;
            if self.operators[..index].iter().any(same_token) {
                let path = format!("operators[{index}].token");
                return Err(field(
                    &path,
                    "used by another operator; expected its own".to_owned(),
                ));
            }
        }
        Ok(())
    }

    /// Checks that a planned stop waits for requests as long as they may take.
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
        Err(field("stop_ms", reason))
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
                return Err(field(
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
    Err(field(path, reason))
}

fn field(path: &str, reason: String) -> SettingsError {
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
