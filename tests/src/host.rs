use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use laburnumdeal_daemon::{Daemon, DaemonError, FaultPoints};
use laburnumdeal_model::Settings;
use slog::{Discard, Logger, o};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};

/// Worker threads of the runtime of an instance.
const WORKERS: usize = 2;

/// Name of the threads that run instances; benches use it to exclude the CPU time of fakes.
pub const INSTANCE_THREAD_NAME: &str = "instance";

/// Longest time to wait for the threads of a killed daemon.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Daemon on its own runtime, so that it can be killed and frozen like a process.
pub struct Host {
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
    faults: FaultPoints,
    gate: Arc<Gate>,
}

/// Blocks the worker threads while the host is frozen.
#[derive(Debug, Default)]
struct Gate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl Host {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns why the daemon does not start.
    ///
    /// # Panics
    ///
    /// Panics when the runtime cannot be built.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(INSTANCE_THREAD_NAME)
            .enable_all()
            .build()
            .expect("the runtime can be built");
        let log = Logger::root(Discard, o!());
        let spawning = runtime.spawn(Daemon::spawn(settings, log));
        let daemon = match spawning.await.expect("starting a daemon does not panic") {
            Ok(daemon) => daemon,
            Err(error) => {
                runtime.shutdown_background();
                return Err(error);
            }
        };
        let faults = daemon.fault_points();
        Ok(Self {
            runtime: Some(runtime),
            daemon: Some(daemon),
            faults,
            gate: Arc::default(),
        })
    }

    /// Returns the fault points at which the daemon can be paused.
    pub fn faults(&self) -> &FaultPoints {
        &self.faults
    }

    /// Kills the daemon, as `SIGKILL` does with its process, and returns once its addresses are
    /// free.
    pub async fn kill(mut self) {
        self.thaw();
        let Some(runtime) = self.runtime.take() else {
            return;
        };
        let (shut_down, shutdown) = oneshot::channel();
        std::thread::spawn(move || {
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
            let _ = shut_down.send(());
        });
        let _ = shutdown.await;
    }

    /// Runs a planned stop and waits for its end.
    pub async fn stop(mut self) {
        let daemon = self.daemon.take().expect("a host has a daemon");
        let stopping = self.runtime().spawn(daemon.stop());
        let _ = stopping.await;
    }

    /// Freezes every thread of the daemon until [`Host::thaw`].
    pub async fn freeze(&self) {
        *self.gate.is_closed.lock().expect("no panic while locked") = true;
        let (blocked, mut blocked_workers) = mpsc::unbounded_channel();
        for _ in 0..WORKERS {
            let (gate, blocked) = (self.gate.clone(), blocked.clone());
            self.runtime().spawn(async move {
                let _ = blocked.send(());
                gate.wait();
            });
        }
        for _ in 0..WORKERS {
            // A worker that is already blocked never takes its task; the timeout bounds the wait.
            let _ = tokio::time::timeout(Duration::from_secs(1), blocked_workers.recv()).await;
        }
    }

    /// Resumes a frozen daemon.
    pub fn thaw(&self) {
        *self.gate.is_closed.lock().expect("no panic while locked") = false;
        self.gate.opened.notify_all();
    }

    fn runtime(&self) -> &Runtime {
        self.runtime
            .as_ref()
            .expect("a host has a runtime until it ends")
    }

    fn shut_down(&mut self) {
        self.thaw();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Gate {
    fn wait(&self) {
        let mut is_closed = self.is_closed.lock().expect("no panic while locked");
        while *is_closed {
            is_closed = self.opened.wait(is_closed).expect("no panic while locked");
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.shut_down();
    }
}
