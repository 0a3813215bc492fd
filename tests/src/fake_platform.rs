use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// HTTP server of the platform's instance list, with contents that the test sets.
#[derive(Debug)]
pub struct FakePlatform {
    document: Arc<Mutex<String>>,
    server: JoinHandle<()>,
}

impl FakePlatform {
    /// Listens on an address and serves an empty list.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let document = Arc::new(Mutex::new("{\"instances\":[]}".to_owned()));
        let server = tokio::spawn(serve(listener, document.clone()));
        Ok(Self { document, server })
    }

    /// Replaces the list; each entry is a name and "live" or "leaving".
    pub fn set(&self, entries: &[(&str, &str)]) {
        let rows: Vec<String> = entries
            .iter()
            .map(|(name, state)| format!("{{\"name\":\"{name}\",\"state\":\"{state}\"}}"))
            .collect();
        self.set_text(&format!("{{\"instances\":[{}]}}", rows.join(",")));
    }

    /// Replaces the whole document, which may be invalid.
    pub fn set_text(&self, text: &str) {
        *self.document.lock().expect("no panic while locked") = text.to_owned();
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn serve(listener: TcpListener, document: Arc<Mutex<String>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let document = document.clone();
        let service = service_fn(move |_| {
            let text = document.lock().expect("no panic while locked").clone();
            async move { Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text)))) }
        });
        tokio::spawn(
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}
