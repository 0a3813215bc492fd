//! Fault injection for tests: points at which a request, a peer message or a planned stop can be
//! paused, and faults of the program that can be switched on. Without the feature `faults` all of
//! it compiles to nothing.

use derive_more::Display;

/// Point in a request, a peer message or a planned stop at which a test can pause execution.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultPoint {
    /// The request has been read from its connection.
    #[display("arrival")]
    Arrived,
    /// The home instance has claimed the key and has not asked the mirror yet.
    #[display("claim")]
    Claimed,
    /// The mirror has received the request for its claim and has not claimed the key yet.
    #[display("mirror asked")]
    MirrorAsked,
    /// The mirror has claimed the key and has not replied yet.
    #[display("mirror claimed")]
    MirrorClaimed,
    /// The mirror's reply has arrived and the request has not started.
    #[display("mirror acknowledged")]
    Mirrored,
    /// The claim is marked as started, so it can no longer be fenced; no upstream is chosen yet.
    #[display("start")]
    Started,
    /// A slot of an upstream is acquired and no byte has been sent.
    #[display("choice")]
    Chosen,
    /// The head of the answer has arrived.
    #[display("answer head")]
    AnswerHead,
    /// The whole answer has arrived and is not stored yet.
    #[display("answer")]
    Answered,
    /// The answer is stored and the caller's response has not been sent yet.
    #[display("store")]
    Stored,
    /// A planned stop has begun; this instance reports itself as leaving.
    #[display("leave")]
    Leaving,
    /// A planned stop has handed over its upstreams.
    #[display("hand-over of upstreams")]
    UpstreamsHandedOver,
    /// A planned stop has handed over its claims.
    #[display("hand-over of claims")]
    ClaimsHandedOver,
}

/// Fault of the program itself that a test injects to show that its checks detect it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InjectedFault {
    /// The home instance starts a request without asking the mirror.
    #[display("start without the mirror")]
    StartWithoutMirror,
    /// A broken connection is treated as proof that the request did not run.
    #[display("broken connection taken for not run")]
    BrokenIsNotRun,
}

#[cfg(feature = "faults")]
mod points {
    use std::sync::{Arc, Mutex};

    use tokio::sync::{oneshot, watch};

    use super::{FaultPoint, InjectedFault};

    /// Pauses the first task that reaches an armed point. Cheap to clone.
    #[derive(Clone, Debug, Default)]
    pub struct FaultPoints {
        armed: Arc<Mutex<Option<ArmedState>>>,
        injected: Arc<Mutex<Option<InjectedFault>>>,
    }

    #[derive(Debug)]
    struct ArmedState {
        point: FaultPoint,
        reached: oneshot::Sender<()>,
        released: watch::Receiver<bool>,
    }

    /// Handle of an armed point: reports when it is reached and resumes the task paused there.
    #[derive(Debug)]
    pub struct ArmedFaultPoint {
        reached: oneshot::Receiver<()>,
        released: watch::Sender<bool>,
    }

    impl FaultPoints {
        /// Arms a point: the next task that reaches it pauses until [`ArmedFaultPoint::release`].
        pub fn arm(&self, point: FaultPoint) -> ArmedFaultPoint {
            let (reached_sender, reached) = oneshot::channel();
            let released = watch::Sender::new(false);
            let armed = ArmedState {
                point,
                reached: reached_sender,
                released: released.subscribe(),
            };
            *self.armed.lock().expect("no panic while locked") = Some(armed);
            ArmedFaultPoint { reached, released }
        }

        /// Injects a fault for the rest of the run.
        pub fn inject(&self, fault: InjectedFault) {
            *self.injected.lock().expect("no panic while locked") = Some(fault);
        }

        /// Returns whether a fault is injected.
        pub fn is_injected(&self, fault: InjectedFault) -> bool {
            *self.injected.lock().expect("no panic while locked") == Some(fault)
        }

        /// Returns immediately unless the point is armed.
        pub async fn pause_at(&self, point: FaultPoint) {
            let armed = self
                .armed
                .lock()
                .expect("no panic while locked")
                .take_if(|armed| armed.point == point);
            if let Some(mut armed) = armed {
                let _ = armed.reached.send(());
                if armed.released.wait_for(|released| *released).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    impl ArmedFaultPoint {
        /// Returns once a task has reached the point.
        pub async fn reached(&mut self) {
            let _ = (&mut self.reached).await;
        }

        /// Resumes the paused task. Dropping the handle instead leaves the task paused forever.
        pub fn release(self) {
            self.released.send_replace(true);
        }
    }
}

#[cfg(not(feature = "faults"))]
mod points {
    use super::{FaultPoint, InjectedFault};

    /// Stand-in without the feature `faults`: never pauses and injects nothing.
    #[derive(Clone, Copy, Debug, Default)]
    pub struct FaultPoints {
        _private: (),
    }

    impl FaultPoints {
        /// Always returns false.
        #[inline(always)]
        pub fn is_injected(&self, _: InjectedFault) -> bool {
            false
        }

        /// Returns immediately.
        #[inline(always)]
        pub async fn pause_at(&self, _: FaultPoint) {}
    }
}

pub use points::*;
