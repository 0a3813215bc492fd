use std::fmt;

use laburnumdeal_model::Version;

/// Words that may follow a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandOptions {
    /// Accepts consequences that are refused otherwise.
    pub force: bool,
    /// Reports the outcome without making the change.
    pub dry_run: bool,
    /// Version that the operator looked at.
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
