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
    forwarded_bytes: Arc<AtomicU64>,
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
    SilenceOpen,
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

    /// Returns the bytes that the link has passed on, both directions together.
    pub fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
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
