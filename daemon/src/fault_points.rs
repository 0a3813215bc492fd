//! Steps at which tests hold a request, a message or a stop. Without the feature `faults` nothing
//! is held and nothing is compiled in.

use derive_more::Display;

/// Step of a request, of a message or of a planned stop.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Step {
    /// A request has been read from its connection.
    #[display("arrival")]
    Arrived,
    /// The home has claimed the key, and the mirror has not been asked.
    #[display("claim")]
    Claimed,
    /// The mirror has been asked and has not claimed.
    #[display("mirror asked")]
    MirrorAsked,
    /// The mirror has claimed and has not replied.
    #[display("mirror claimed")]
    MirrorClaimed,
    /// The mirror's reply is here and the request has not started.
    #[display("mirror acknowledged")]
    Mirrored,
    /// The request has passed the point of no return and has no upstream yet.
    #[display("start")]
    Started,
    /// A slot is taken and no byte has been sent.
    #[display("choice")]
    Chosen,
    /// The head of the answer is here.
    #[display("answer head")]
    AnswerHead,
    /// The whole answer is here and is not stored.
    #[display("answer")]
    Answered,
    /// The answer is stored and the reply has not been sent.
    #[display("store")]
    Stored,
    /// A planned stop has begun and the peers have been told.
    #[display("leave")]
    Leaving,
    /// A planned stop has handed its upstreams over.
    #[display("hand-over of upstreams")]
    UpstreamsHandedOver,
    /// A planned stop has handed its claims over.
    #[display("hand-over of claims")]
    ClaimsHandedOver,
}

/// Fault of the program itself, which a test plants to show that the checks find it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Planted {
    /// The home starts without asking the mirror.
    #[display("start without the mirror")]
    StartWithoutMirror,
    /// A connection that broke counts as proof that the request did not run.
    #[display("broken connection taken for not run")]
    BrokenIsNotRun,
}

#[cfg(feature = "faults")]
mod points {
    use std::sync::{Arc, Mutex};

    use tokio::sync::{oneshot, watch};

    use super::{Planted, Step};

    /// Holds whoever reaches an armed step. Cheap to clone.
    #[derive(Clone, Debug, Default)]
    pub struct FaultPoints {
        armed: Arc<Mutex<Option<Armed>>>,
        planted: Arc<Mutex<Option<Planted>>>,
    }

    #[derive(Debug)]
    struct Armed {
        step: Step,
        reached: oneshot::Sender<()>,
        released: watch::Receiver<bool>,
    }

    /// Tells when an armed step is reached, and releases what it holds.
    #[derive(Debug)]
    pub struct Held {
        reached: oneshot::Receiver<()>,
        released: watch::Sender<bool>,
    }

    impl FaultPoints {
        /// Arms a step: the next one that reaches it is held until [`Held::release`].
        pub fn arm(&self, step: Step) -> Held {
            let (reached_sender, reached) = oneshot::channel();
            let released = watch::Sender::new(false);
            let armed = Armed {
                step,
                reached: reached_sender,
                released: released.subscribe(),
            };
            *self.armed.lock().expect("no panic while locked") = Some(armed);
            Held { reached, released }
        }

        /// Plants a fault for the rest of the run.
        pub fn plant(&self, fault: Planted) {
            *self.planted.lock().expect("no panic while locked") = Some(fault);
        }

        /// Returns whether a fault is planted.
        pub fn is_planted(&self, fault: Planted) -> bool {
            *self.planted.lock().expect("no panic while locked") == Some(fault)
        }

        /// Returns at once unless the step is armed.
        pub async fn at(&self, step: Step) {
            let armed = self
                .armed
                .lock()
                .expect("no panic while locked")
                .take_if(|armed| armed.step == step);
            if let Some(mut armed) = armed {
                let _ = armed.reached.send(());
                if armed.released.wait_for(|released| *released).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    impl Held {
        /// Returns once the step is reached.
        pub async fn reached(&mut self) {
            let _ = (&mut self.reached).await;
        }

        /// Lets go on what is held. Dropping this instead holds it for good.
        pub fn release(self) {
            self.released.send_replace(true);
        }
    }
}

#[cfg(not(feature = "faults"))]
mod points {
    use super::{Planted, Step};

    /// Holds nothing.
    #[derive(Clone, Copy, Debug, Default)]
    pub struct FaultPoints {
        _private: (),
    }

    impl FaultPoints {
        /// Returns false.
        #[inline(always)]
        pub fn is_planted(&self, _: Planted) -> bool {
            false
        }

        /// Returns at once.
        #[inline(always)]
        pub async fn at(&self, _: Step) {}
    }
}

pub use points::*;
