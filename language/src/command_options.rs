use std::fmt;

use laburnumdeal_model::Version;

/// Options that may follow a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandOptions {
    /// Accepts a change that leaves a service without an upstream that takes work.
    pub force: bool,
    /// Reports the outcome without making the change.
    pub dry_run: bool,
    /// Version that the change is based on; it is refused when another version is in force.
    pub base: Option<Version>,
}

impl fmt::Display for CommandOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(base) = self.base {
            write!(f, " based on {base}")?;
        }
        if self.force {
            f.write_str(" force")?;
        }
        if self.dry_run {
            f.write_str(" dry-run")?;
        }
        Ok(())
    }
}
