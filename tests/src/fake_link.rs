use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Bytes that the link passes on at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// A link between two processes: passes TCP connections on until it is told otherwise.
#[derive(Debug)]
pub struct FakeLink {
    state: Arc<watch::Sender<LinkState>>,
    passed_bytes: Arc<AtomicU64>,
    server: JoinHandle<()>,
}

/// What a link does with bytes and with new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Passes everything on.
    Open,
    /// Passes nothing on and answers nothing; the ends are not told.
    Silent,
    /// Passes nothing on from the connecting side; the other direction works.
    SilentForward,
    /// Breaks connections and accepts none.
    Broken,
    /// Connections that are open go silent; new ones work.
    ForgetOpen,
}

impl FakeLink {
    /// Listens on `from` and passes connections on to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let passed_bytes = Arc::default();
        let server = tokio::spawn(accept(
            listener,
            to,
            state.clone(),
            Arc::clone(&passed_bytes),
        ));
        Ok(Self {
            state,
            passed_bytes,
            server,
        })
    }

    /// Returns the bytes that the link has passed on, both directions together.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Changes the state of the link.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for FakeLink {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept(
    listener: TcpListener,
    to: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    passed_bytes: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        if *state.borrow() != LinkState::Broken {
            connections.spawn(pass(near, to, state.subscribe(), passed_bytes.clone()));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn pass(
    near: TcpStream,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    passed_bytes: Arc<AtomicU64>,
) {
    let mut waiting = state.clone();
    if waiting
        .wait_for(|s| !matches!(s, LinkState::Silent | LinkState::SilentForward))
        .await
        .is_err()
    {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let forward = copy(near_in, far_out, state.clone(), true, &passed_bytes);
    let back = copy(far_in, near_out, state, false, &passed_bytes);
    tokio::join!(forward, back);
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<LinkState>,
    is_forward: bool,
    passed_bytes: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_forgotten = false;
    state.mark_unchanged();
    loop {
        tokio::select! {
            biased;
            changed = state.changed() => {
                let now = *state.borrow_and_update();
                is_forgotten |= now == LinkState::ForgetOpen;
                if changed.is_err() || now == LinkState::Broken {
                    return;
                }
            }
            read = from.read(&mut buffer), if !is_forgotten && passes(*state.borrow(), is_forward) => {
                match read {
                    Ok(0) | Err(_) => {
                        let _ = to.shutdown().await;
                        return;
                    }
                    Ok(length) => {
                        if to.write_all(&buffer[..length]).await.is_err() {
                            return;
                        }
                        passed_bytes.fetch_add(length as u64, Ordering::Relaxed);
                    }
                }
            }
        }
    }
}

fn passes(state: LinkState, is_forward: bool) -> bool {
    match state {
        LinkState::Open | LinkState::ForgetOpen => true,
        LinkState::SilentForward => !is_forward,
        LinkState::Silent | LinkState::Broken => false,
    }
}
