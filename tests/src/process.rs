use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;
use std::time::Duration;

use laburnumdeal_model::Settings;

/// Daemon in its own process, which is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Signal that a test can send to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Requests a planned stop (`SIGTERM`).
    Terminate,
    /// Freezes the process (`SIGSTOP`).
    Stop,
    /// Resumes the process (`SIGCONT`).
    Continue,
}

impl Process {
    /// Writes the settings into `folder`, next to the log, and starts a daemon with them.
    ///
    /// # Errors
    ///
    /// Returns the error of writing the settings or of starting the process.
    pub fn spawn(folder: &Path, settings: &Settings) -> io::Result<Self> {
        let file = folder.join(format!("{}.jsonc", settings.instance));
        let text = serde_json::to_string_pretty(settings).map_err(io::Error::other)?;
        std::fs::write(&file, format!("// Settings of one instance.\n{text}\n"))?;
        let log = std::fs::File::create(folder.join(format!("{}.log", settings.instance)))?;
        let child = Command::new(binary("laburnumdeald")?)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    /// Starts a daemon that gets the path of its settings file in an environment variable.
    ///
    /// # Errors
    ///
    /// Returns the error of starting the process.
    pub fn spawn_by_variable(variable: &str, file: &Path) -> io::Result<Self> {
        let log = std::fs::File::create(file.with_extension("log"))?;
        let child = Command::new(binary("laburnumdeald")?)
            .env(variable, file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns the error of starting `kill`.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let name = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .map(drop)
    }

    /// Kills the process (`SIGKILL`) and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns the error of killing it.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// Returns the error of waiting, or that the process still runs after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> io::Result<ExitStatus> {
        let until = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the process still runs after the timeout",
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a binary of this workspace. The first call builds the binaries, since cargo
/// does not build those of other packages for a test or an example.
///
/// # Errors
///
/// Returns the error of building it.
pub fn binary(name: &str) -> io::Result<PathBuf> {
    static BUILT: OnceLock<bool> = OnceLock::new();
    let folder = target_folder()?;
    if *BUILT.get_or_init(|| build_binaries(&folder).is_ok()) {
        return Ok(folder.join(name));
    }
    Err(io::Error::other(
        "cargo could not build the binaries of the workspace",
    ))
}

/// Returns the target folder of the current profile.
fn target_folder() -> io::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let parent = running.parent().unwrap_or(Path::new("."));
    let is_nested = parent.ends_with("deps") || parent.ends_with("examples");
    let folder = if is_nested {
        parent.parent().unwrap_or(parent)
    } else {
        parent
    };
    Ok(folder.to_owned())
}

fn build_binaries(folder: &Path) -> io::Result<()> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--bins"]);
    command.args([
        "--package",
        "laburnumdeald",
        "--package",
        "laburnumdeal-cli",
    ]);
    if folder.ends_with("release") {
        command.arg("--release");
    }
    let status = command.current_dir(env!("CARGO_MANIFEST_DIR")).status()?;
    match status.success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("cargo build ended with {status}"))),
    }
}
