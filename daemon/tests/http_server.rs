//! Tests of the HTTP server with real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use laburnumdeal_daemon::{AnswerBody, HttpHandler, HttpServer, IncomingBody};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections that are opened right before the stop.
const CONNECTIONS: usize = 100;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n";

struct Greeter;

impl HttpHandler for Greeter {
    async fn handle(
        &self,
        _request: Request<IncomingBody>,
        _peer: SocketAddr,
    ) -> Response<AnswerBody> {
        Response::new(AnswerBody::whole("hello"))
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Sends a request and returns all that arrives until the connection ends.
async fn exchange(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    if stream.write_all(REQUEST).await.is_ok() {
        let _ = stream.read_to_end(&mut answer).await;
    }
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn stop_connections_just_opened_are_answered() {
    let address = free_address().await;
    let mut server = HttpServer::bind(address, Arc::new(Greeter)).await.unwrap();
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(address).await.unwrap());
    }
    let stopping = tokio::spawn(async move { server.stop(Duration::from_secs(10)).await });
    // The server has been asked to stop when the requests arrive.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let exchanges: Vec<_> = streams
        .into_iter()
        .map(|stream| tokio::spawn(exchange(stream)))
        .collect();
    for exchange in exchanges {
        let answer = exchange.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(
            answer.to_lowercase().contains("connection: close"),
            "{answer:?}"
        );
    }
    stopping.await.unwrap();
}

#[tokio::test]
async fn stop_idle_connection_is_closed_at_once() {
    let address = free_address().await;
    let mut server = HttpServer::bind(address, Arc::new(Greeter)).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    let mut buffer = [0; 1024];
    assert!(stream.read(&mut buffer).await.unwrap() > 0);
    server.stop(Duration::from_secs(10)).await;
    assert_eq!(stream.read(&mut buffer).await.unwrap(), 0);
}
