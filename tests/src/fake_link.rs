use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// TCP proxy that stands for the network between two processes and can fail on demand.
#[derive(Debug)]
pub struct FakeLink {
    state: Arc<watch::Sender<LinkState>>,
    forwarded_bytes: Arc<AtomicU64>,
    server: JoinHandle<()>,
}

/// What a link does with bytes and new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards everything.
    Open,
    /// Forwards nothing, without closing connections.
    Silent,
    /// Forwards nothing from the connecting side; the other direction works.
    SilentForward,
    /// Closes open connections, and new ones at once.
    Broken,
    /// Forwards nothing more on connections that are open now; new connections work.
    SilenceOpen,
}

impl FakeLink {
    /// Listens on `from` and forwards connections to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from).await?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let forwarded_bytes = Arc::default();
        let server = tokio::spawn(accept(
            listener,
            to,
            state.clone(),
            Arc::clone(&forwarded_bytes),
        ));
        Ok(Self {
            state,
            forwarded_bytes,
            server,
        })
    }

    /// Returns the number of bytes forwarded in both directions.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    /// Sets the state of the link.
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
    forwarded_bytes: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        if *state.borrow() != LinkState::Broken {
            connections.spawn(forward(
                client,
                to,
                state.subscribe(),
                forwarded_bytes.clone(),
            ));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn forward(
    client: TcpStream,
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    forwarded_bytes: Arc<AtomicU64>,
) {
    let mut unblocked = state.clone();
    if unblocked
        .wait_for(|s| !matches!(s, LinkState::Silent | LinkState::SilentForward))
        .await
        .is_err()
    {
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let forward_copy = copy(
        client_reader,
        server_writer,
        state.clone(),
        true,
        &forwarded_bytes,
    );
    let backward_copy = copy(server_reader, client_writer, state, false, &forwarded_bytes);
    tokio::join!(forward_copy, backward_copy);
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<LinkState>,
    is_forward: bool,
    forwarded_bytes: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silenced = false;
    state.mark_unchanged();
    loop {
        tokio::select! {
            biased;
            changed = state.changed() => {
                let now = *state.borrow_and_update();
                is_silenced |= now == LinkState::SilenceOpen;
                if changed.is_err() || now == LinkState::Broken {
                    return;
                }
            }
            read = from.read(&mut buffer), if !is_silenced && is_forwarding(*state.borrow(), is_forward) => {
                match read {
                    Ok(0) | Err(_) => {
                        let _ = to.shutdown().await;
                        return;
                    }
                    Ok(length) => {
                        if to.write_all(&buffer[..length]).await.is_err() {
                            return;
                        }
                        forwarded_bytes.fetch_add(length as u64, Ordering::Relaxed);
                    }
                }
            }
        }
    }
}

fn is_forwarding(state: LinkState, is_forward: bool) -> bool {
    match state {
        LinkState::Open | LinkState::SilenceOpen => true,
        LinkState::SilentForward => !is_forward,
        LinkState::Silent | LinkState::Broken => false,
    }
}
