//! Tests of whether a request on a closed connection counts as sent.

use super::{Link, Trace};
use http::Request;
use std::time::Duration;
use test_case::test_case;
use tokio::{io::AsyncReadExt, net::TcpListener, time};

const MAX_BODY_BYTES: usize = 16;

// A request on a connection that was closed before its first byte must not count as sent, since
// that prevents the retry on a new connection. After the first byte it must not be retried.
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
        // Gives the runtime time to detect the closed socket.
        time::sleep(Duration::from_millis(1)).await;
    }
    let request = Request::put("/table/a").body("x".into());
    let request = request.expect("the request is valid");
    let mut trace = Trace::default();
    let result = link.exchange(request, MAX_BODY_BYTES, &mut trace).await;
    assert!(result.is_err());
    assert_eq!(trace.sent(), after_first_byte);
}
