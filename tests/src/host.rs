use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use laburnumdeal_daemon::{Daemon, DaemonError, FaultPoints};
use laburnumdeal_model::Settings;
use slog::{Discard, Logger, o};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot};

/// Worker threads of one instance.
const WORKERS: usize = 2;

/// Name of the threads that run instances, by which their processor time is told from that of fakes.
pub const INSTANCE_THREAD_NAME: &str = "instance";

/// Longest time that the threads of a killed daemon take to end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// One daemon on a runtime of its own, so that it can be killed and frozen as a process can.
pub struct Host {
    runtime: Option<Runtime>,
    daemon: Option<Daemon>,
    faults: FaultPoints,
    gate: Arc<Gate>,
}

/// Blocks the worker threads of a frozen host.
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
    /// Panics when no runtime can be made.
    pub async fn spawn(settings: Settings) -> Result<Self, DaemonError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .thread_name(INSTANCE_THREAD_NAME)
            .enable_all()
            .build()
            .expect("a runtime can be made");
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

    /// Returns the steps at which the daemon can be held.
    pub fn faults(&self) -> &FaultPoints {
        &self.faults
    }

    /// Ends the daemon at once, as killing its process does, and returns when its addresses are
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

    /// Stops the daemon as planned.
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
            // The second worker may be blocked before it takes its task; the time bounds that.
            let _ = tokio::time::timeout(Duration::from_secs(1), blocked_workers.recv()).await;
        }
    }

    /// Lets a frozen daemon go on.
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
