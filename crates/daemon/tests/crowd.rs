//! Idle connections of hosts and operators beyond the limit.

use async_trait::async_trait;
use azurenotch_daemon::process::serve::{Handler, serve, status};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use slog::{Discard, Logger, o};
use std::{sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Idle connections, more than the port may have.
const IDLE: usize = 600;
/// Time within which a new connection is answered.
const PROMPT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Answers;

#[async_trait]
impl Handler for Answers {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Bytes> {
        status(StatusCode::OK)
    }
}

/// Guards against hosts and operators that wait unread while idle connections use up the limit.
#[tokio::test]
async fn a_new_connection_is_answered_while_idle_ones_use_up_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let stop = CancellationToken::new();
    let log = Logger::root(Discard, o!());
    tokio::spawn(serve(listener, Arc::new(Answers), stop.clone(), log));
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.push(TcpStream::connect(address).await.expect("the port listens"));
    }
    let mut new = TcpStream::connect(address).await.expect("the port listens");
    let request = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n";
    new.write_all(request).await.expect("sent");
    let mut answer = [0; 12];
    let read = timeout(PROMPT, new.read_exact(&mut answer)).await;
    read.expect("an answer in time").expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
    stop.cancel();
}
