//! Which failures of a connection count as sent.

use super::{Link, Trace};
use http::Request;
use std::time::Duration;
use test_case::test_case;
use tokio::{io::AsyncReadExt, net::TcpListener, time};

const LIMIT: usize = 16;

// Guards against a lost write for a connection that was closed before its first byte, which
// prevents the retry on a fresh connection, and against a retry after the first byte.
#[test_case(false; "before the first byte")]
#[test_case(true; "after the first byte")]
#[tokio::test]
async fn closed_by_peer(after_first_byte: bool) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let mut link = Link::connect(address).await.expect("the listener works");
    let (mut stream, _) = listener.accept().await.expect("the listener works");
    let peer = tokio::spawn(async move {
        if after_first_byte {
            stream.read_u8().await.expect("the client writes");
        }
    });
    if !after_first_byte {
        peer.await.expect("the peer ends");
        // Lets the runtime take notice of the closed socket.
        time::sleep(Duration::from_millis(1)).await;
    }
    let request = Request::put("/table/a").body("x".into());
    let request = request.expect("the request is valid");
    let mut trace = Trace::default();
    let result = link.exchange(request, LIMIT, &mut trace).await;
    assert!(result.is_err());
    assert_eq!(trace.sent(), after_first_byte);
}
