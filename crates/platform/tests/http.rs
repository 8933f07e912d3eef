//! Error classes that the adapters return for each fault of the platform.

use azurenotch_platform::{
    Roster, Table,
    http::Client,
    roster, store,
    table::{Error, Expect, Fence, Row},
};
use azurenotch_test_support::{
    fault::{Endpoint, Fault},
    memory,
    platform::Server,
};
use std::{net::SocketAddr, time::Duration};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

const KEY: &str = "lease/planner";
const FENCED_KEY: &str = "budget/allocation";
const SEED: u64 = 7;
/// Timeout that no test reaches in real time.
const TIMEOUT: Duration = Duration::from_secs(100);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    Done,
    Conflict,
    Unavailable,
    Ambiguous,
    Protocol,
}

fn class<T>(result: &Result<T, Error>) -> Class {
    match result {
        Ok(_) => Class::Done,
        Err(Error::Conflict { .. } | Error::Fenced { .. }) => Class::Conflict,
        Err(Error::Unavailable { .. }) => Class::Unavailable,
        Err(Error::Ambiguous { .. }) => Class::Ambiguous,
        Err(Error::Protocol { .. }) => Class::Protocol,
    }
}

async fn server() -> (Server, Client) {
    let server = Server::start(SEED).await.expect("a port is free");
    let client = Client::new(server.address()).timeout(TIMEOUT);
    (server, client)
}

struct Case {
    fault: Fault,
    read: Class,
    write: Class,
    took_effect: bool,
}

impl Case {
    fn new(fault: Fault, read: Class, write: Class, took_effect: bool) -> Self {
        Self {
            fault,
            read,
            write,
            took_effect,
        }
    }
}

// Guards against a wrong error class, a repeated write, and differences between the HTTP and
// in-memory stand-ins.
#[test_case(Case::new(Fault::default(), Class::Done, Class::Done, true); "no fault")]
#[test_case(Case::new(
    Fault { down: true, ..Fault::default() }, Class::Unavailable, Class::Ambiguous, false
); "down")]
#[test_case(Case::new(
    Fault { drop_writes: 1, ..Fault::default() }, Class::Done, Class::Ambiguous, false
); "write dropped")]
#[test_case(Case::new(
    Fault { lose_answers: 1, ..Fault::default() }, Class::Done, Class::Ambiguous, true
); "answer lost")]
#[test_case(Case::new(
    Fault { fail_share: 1.0, ..Fault::default() }, Class::Unavailable, Class::Unavailable, false
); "failure without effect")]
#[test_case(Case::new(
    Fault { fail_share: 1.0, vague: true, ..Fault::default() },
    Class::Unavailable, Class::Ambiguous, false
); "failure that leaves the effect open")]
#[tokio::test]
async fn fault_has_class(case: Case) {
    let (server, client) = server().await;
    let memory = memory::Platform::new(SEED).timeout(TIMEOUT);
    let tables: [(&dyn Table, &memory::Platform); 2] =
        [(&client, server.platform()), (&memory, &memory)];
    for (table, platform) in tables {
        for reused in [false, true] {
            let key = format!("row/{reused}");
            platform.set_fault(Endpoint::Table, case.fault.clone());
            let before = platform.counters().table.received;
            let write = table.put(&key, b"own", Expect::Absent, None).await;
            assert_eq!(class(&write), case.write, "{write:?}");
            assert_eq!(platform.counters().table.received - before, 1);
            assert_eq!(class(&table.get(&key).await), case.read);

            // Reading the row again shows whether a write with a lost answer took effect.
            platform.set_fault(Endpoint::Table, Fault::default());
            let row = table.get(&key).await.expect("the fault is gone");
            assert_eq!(row.is_some_and(|row| row.value == b"own"), case.took_effect);
        }
    }
}

// Guards against a store or roster error that is not `Unavailable`, and against faults that
// reach another kind of endpoint.
#[test_case(Fault { down: true, ..Fault::default() }; "down")]
#[test_case(Fault { fail_share: 1.0, ..Fault::default() }; "failure without effect")]
#[test_case(Fault { fail_share: 1.0, vague: true, ..Fault::default() }; "vague failure")]
#[tokio::test]
async fn store_and_roster_are_unavailable(fault: Fault) {
    let (server, client) = server().await;
    let memory = memory::Platform::new(SEED).timeout(TIMEOUT);
    let platforms: [(&dyn store::Store, &dyn Roster, &memory::Platform); 2] = [
        (&client, &client, server.platform()),
        (&memory, &memory, &memory),
    ];
    for (store, roster, platform) in platforms {
        platform.set_fault(Endpoint::Object, fault.clone());
        let unavailable = |error| matches!(error, store::Error::Unavailable { .. });
        assert!(store.get("a").await.is_err_and(unavailable));
        assert!(store.put("a", b"x").await.is_err_and(unavailable));
        roster.list().await.expect("the roster has no fault");

        platform.set_fault(Endpoint::Object, Fault::default());
        platform.set_fault(Endpoint::Roster, fault.clone());
        let unavailable = |error| matches!(error, roster::Error::Unavailable);
        assert!(roster.list().await.is_err_and(unavailable));
        store.put("a", b"x").await.expect("the store has no fault");
        let bytes = store.get("a").await.expect("the store has no fault");
        assert_eq!(bytes.as_deref(), Some(&b"x"[..]));
        assert_eq!(store.get("b").await.expect("the store has no fault"), None);
    }
}

// Guards against `Ambiguous` for a write whose connection was refused.
#[tokio::test]
async fn refused_connection_is_unavailable() {
    let (server, client) = server().await;
    client.get(KEY).await.expect("the server listens");
    server.close().await;
    // A pooled connection may still seem open at its first use after the close.
    let _ = client.get(KEY).await;
    let write = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Unavailable);
    server.reopen().await.expect("the port is still free");
    let write = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Done);
}

// Guards against a failed write when the peer has closed an idle connection, and against the
// use of connections that were idle for too long.
#[test_case(true, TIMEOUT, Class::Done, 2; "closed by the peer")]
#[test_case(false, Duration::ZERO, Class::Done, 2; "idle for too long")]
#[test_case(false, TIMEOUT, Class::Done, 1; "kept")]
#[tokio::test]
async fn idle_connection(close: bool, limit: Duration, expected: Class, connections: u64) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let client = Client::new(address).timeout(TIMEOUT).idle(1, limit);
    let (closed, mut is_closed) = tokio::sync::mpsc::unbounded_channel();
    let peer = tokio::spawn(async move {
        let (mut accepted, mut answered) = (0, 0);
        while answered < 2 {
            let (mut stream, _) = listener.accept().await.expect("the listener works");
            accepted += 1;
            while answered < 2 && read_request(&mut stream).await {
                let answer = b"HTTP/1.1 204 x\r\netag: \"1\"\r\n\r\n";
                stream.write_all(answer).await.expect("the client reads");
                answered += 1;
                if close {
                    break;
                }
            }
            drop(stream);
            closed.send(()).expect("the test runs");
        }
        accepted
    });
    let first = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&first), Class::Done);
    if close {
        is_closed.recv().await.expect("the peer runs");
        // Gives the runtime time to detect the closed socket.
        time::sleep(Duration::from_millis(1)).await;
    }
    let second = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&second), expected);
    assert_eq!(peer.await.expect("the peer ends"), connections);
}

// Guards against reporting a timeout after sending as a failure without effect, and against
// missing a write that takes effect late.
#[test_case(Fault { freeze: true, ..Fault::default() }, false; "frozen")]
#[test_case(Fault { delay: TIMEOUT * 2, ..Fault::default() }, true; "delayed")]
#[tokio::test]
async fn timeout_after_sending_is_ambiguous(fault: Fault, takes_effect: bool) {
    let (server, client) = server().await;
    server.set_fault(Endpoint::Table, fault);
    let call = client.put(KEY, b"own", Expect::Absent, None);
    let expire = async {
        server.wait_for(|count| count.table.received == 1).await;
        time::pause();
        time::advance(TIMEOUT).await;
    };
    let (write, ()) = tokio::join!(call, expire);
    assert_eq!(class(&write), Class::Ambiguous);
    if takes_effect {
        server.wait_for(|count| count.table.writes == 1).await;
    }
    time::resume();
    server.set_fault(Endpoint::Table, Fault::default());
    let row = client.get(KEY).await.expect("the fault is gone");
    assert_eq!(row.is_some_and(|row| row.value == b"own"), takes_effect);
    assert_eq!(server.counters().table.received, 2);
}

// Guards against the in-memory platform reporting other errors at a timeout than the HTTP client.
#[test_case(Fault { freeze: true, ..Fault::default() }, false; "frozen")]
#[test_case(Fault { delay: TIMEOUT * 2, ..Fault::default() }, true; "delayed")]
#[tokio::test(start_paused = true)]
async fn timeout_in_memory(fault: Fault, takes_effect: bool) {
    let memory = memory::Platform::new(SEED).timeout(TIMEOUT);
    let table: &dyn Table = &memory;
    memory.set_fault(Endpoint::Table, fault);
    assert_eq!(class(&table.get(KEY).await), Class::Unavailable);
    let write = table.put(KEY, b"own", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Ambiguous);
    time::sleep(TIMEOUT * 2).await;
    memory.set_fault(Endpoint::Table, Fault::default());
    let row = table.get(KEY).await.expect("the fault is gone");
    assert_eq!(row.is_some(), takes_effect);
}

// Guards against reporting a partly sent write as not sent.
#[tokio::test]
async fn partly_sent_write_is_ambiguous() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the listener works");
        stream.read_u8().await.expect("the client writes");
    });
    let client = Client::new(address).timeout(TIMEOUT);
    let value = vec![0; 16 * 1024 * 1024];
    let write = client.put(KEY, &value, Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Ambiguous);
    peer.await.expect("the peer ends");
}

// Guards against exceeding the connection limit, and against a cancelled call that does not
// release its connection.
#[tokio::test]
async fn connections_are_limited() {
    let (server, client) = server().await;
    let client = client.connections(1);
    let freeze = Fault {
        freeze: true,
        ..Fault::default()
    };
    server.set_fault(Endpoint::Table, freeze);
    let first = client.put(KEY, b"x", Expect::Absent, None);
    let second = async {
        server.wait_for(|count| count.table.received == 1).await;
        let put = client.put(KEY, b"x", Expect::Absent, None);
        // Shorter than the timeout of the first call, which therefore keeps its connection.
        let waiting = time::timeout(TIMEOUT / 2, put);
        time::pause();
        assert!(waiting.await.is_err());
        time::resume();
        assert_eq!(server.counters().table.received, 1);
    };
    tokio::select! {
        biased;
        write = first => panic!("a frozen call ended: {write:?}"),
        () = second => {}
    }
    // The dropped call has returned its permit.
    server.set_fault(Endpoint::Table, Fault::default());
    let write = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Done);

    // A call that times out while it waits for a connection has sent nothing.
    time::pause();
    let client = client.connections(0);
    let write = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Unavailable);
}

// Guards against a read that reports anything but `Unavailable` at its timeout.
#[tokio::test]
async fn timeout_of_read_is_unavailable() {
    let (server, client) = server().await;
    let freeze = Fault {
        freeze: true,
        ..Fault::default()
    };
    server.set_fault(Endpoint::Table, freeze);
    let expire = async {
        server.wait_for(|count| count.table.received == 1).await;
        time::pause();
        time::advance(TIMEOUT).await;
    };
    let (read, ()) = tokio::join!(client.get(KEY), expire);
    assert_eq!(class(&read), Class::Unavailable);
}

// Guards against `Ambiguous` when the timeout passes before the connection is established.
#[tokio::test]
async fn timeout_before_sending_is_unavailable() {
    let socket = TcpSocket::new_v4().expect("a socket is free");
    let address = ([127, 0, 0, 1], 0).into();
    socket.bind(address).expect("a port is free");
    let listener = socket.listen(1).expect("the socket is bound");
    let address = listener.local_addr().expect("the socket is bound");
    // A listener that accepts nothing holds one connection more than its backlog. Further
    // attempts to connect are left waiting.
    let _first = TcpStream::connect(address).await.expect("it is queued");
    let _second = TcpStream::connect(address).await.expect("it is queued");
    time::pause();
    let client = Client::new(address).timeout(TIMEOUT);
    let write = client.put(KEY, b"x", Expect::Absent, None).await;
    assert_eq!(class(&write), Class::Unavailable);
}

// Guards against accepting incomplete, oversized or unexpected answers.
#[test_case("", Class::Unavailable, Class::Ambiguous; "closed without an answer")]
#[test_case("HTTP/1.1 2", Class::Unavailable, Class::Ambiguous; "cut in the status line")]
#[test_case("HTTP/1.1 200 x\r\netag: \"1\"\r\ncontent-length: 9\r\n\r\nabc",
    Class::Unavailable, Class::Ambiguous; "cut in the body")]
#[test_case("nonsense\r\n\r\n", Class::Unavailable, Class::Ambiguous; "no HTTP")]
#[test_case("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n",
    Class::Protocol, Class::Ambiguous; "no version")]
#[test_case("HTTP/1.1 200 x\r\netag: \"1\"\r\ncontent-length: 17\r\n\r\n12345678901234567",
    Class::Unavailable, Class::Ambiguous; "body over the limit")]
#[test_case("HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n",
    Class::Unavailable, Class::Ambiguous; "failure without a body")]
#[test_case("HTTP/1.1 503 x\r\ncontent-length: 15\r\n\r\n{\"written\":true}",
    Class::Unavailable, Class::Ambiguous; "failure after the write")]
#[test_case("HTTP/1.1 503 x\r\ncontent-length: 17\r\n\r\n{\"written\":false}",
    Class::Unavailable, Class::Ambiguous; "report over the limit")]
#[test_case("HTTP/1.1 600 x\r\ncontent-length: 0\r\n\r\n",
    Class::Unavailable, Class::Ambiguous; "a status that HTTP does not define")]
#[test_case("HTTP/1.1 400 x\r\ncontent-length: 0\r\n\r\n",
    Class::Protocol, Class::Protocol; "bad request")]
#[test_case("HTTP/1.1 412 x\r\ncontent-length: 0\r\n\r\n",
    Class::Protocol, Class::Conflict; "conflict without a row")]
#[tokio::test]
async fn answer_has_class(answer: &'static str, read: Class, write: Class) {
    let (address, peer) = answering(answer).await;
    let client = Client::new(address).timeout(TIMEOUT).response_limit(16);
    assert_eq!(class(&client.get(KEY).await), read);
    let put = client.put(KEY, b"x", Expect::Version(1), None).await;
    assert_eq!(class(&put), write, "{put:?}");
    // One connection for each call: neither was sent again.
    assert_eq!(peer.await.expect("the peer ends"), 2);
}

/// Answers two connections with the given bytes, and returns how many requests it read.
async fn answering(answer: &'static str) -> (SocketAddr, tokio::task::JoinHandle<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let peer = tokio::spawn(async move {
        let mut requests = 0;
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.expect("the listener works");
            requests += u64::from(read_request(&mut stream).await);
            stream
                .write_all(answer.as_bytes())
                .await
                .expect("the client reads");
            stream.shutdown().await.expect("the client reads");
        }
        requests
    });
    (address, peer)
}

/// Reads a request with a body of at most one byte.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    loop {
        let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let body = usize::from(bytes.starts_with(b"PUT"));
        if head.is_some_and(|head| bytes.len() >= head + 4 + body) {
            return true;
        }
        if stream
            .read_buf(&mut bytes)
            .await
            .is_ok_and(|read| read == 0)
        {
            return false;
        }
    }
}

// Guards against accepting writes whose condition does not hold, and against reused row
// versions, which would let a writer with an old version overwrite a new row.
#[tokio::test]
async fn conditions_hold() {
    let (server, client) = server().await;
    let first = client
        .put(KEY, b"a", Expect::Absent, None)
        .await
        .expect("no row yet");
    let row = Row {
        version: first,
        value: b"a".to_vec(),
    };
    let again = client.put(KEY, b"b", Expect::Absent, None).await;
    assert!(matches!(again, Err(Error::Conflict { row: Some(found), .. }) if found == row));

    let second = client
        .put(KEY, b"b", Expect::Version(first), None)
        .await
        .expect("current");
    assert!(second > first);
    let stale = client.delete(KEY, first, None).await;
    assert!(matches!(stale, Err(Error::Conflict { row: Some(found), .. }) if found.value == b"b"));
    client.delete(KEY, second, None).await.expect("current");
    assert_eq!(client.get(KEY).await.expect("no fault"), None);
    let gone = client.put(KEY, b"c", Expect::Version(second), None).await;
    assert!(matches!(gone, Err(Error::Conflict { row: None, .. })));
    let third = client
        .put(KEY, b"d", Expect::Absent, None)
        .await
        .expect("deleted");
    assert!(third > second);
    let count = server.counters().table;
    assert_eq!((count.writes, count.conflicts, count.reads), (4, 3, 1));
}

// Guards against accepting a write of a former lease holder, also for keys that need encoding.
#[test_case("lease/planner"; "plain key")]
#[test_case("lease/a=b c?d#e/%2F/../é"; "key that needs encoding")]
#[tokio::test]
async fn former_holder_is_fenced(lease: &str) {
    let (server, client) = server().await;
    let fence = |token| Fence {
        key: lease.into(),
        token,
    };
    let held = 1_u64.to_be_bytes();
    let version = client
        .put(lease, &held, Expect::Absent, None)
        .await
        .expect("no row yet");
    let old = fence(1);
    let row = client
        .put(FENCED_KEY, b"1", Expect::Absent, Some(&old))
        .await
        .expect("held");

    let taken = [&2_u64.to_be_bytes()[..], b"holder"].concat();
    client
        .put(lease, &taken, Expect::Version(version), None)
        .await
        .expect("current");
    let late = client
        .put(FENCED_KEY, b"x", Expect::Version(row), Some(&old))
        .await;
    assert!(matches!(late, Err(Error::Fenced { key, token: 1 }) if key == lease));
    let late = client.delete(FENCED_KEY, row, Some(&old)).await;
    assert!(matches!(late, Err(Error::Fenced { .. })));
    client
        .put(FENCED_KEY, b"2", Expect::Version(row), Some(&fence(2)))
        .await
        .expect("held");
    assert_eq!(server.counters().table.fenced, 2);
    let row = client
        .get(lease)
        .await
        .expect("no fault")
        .expect("the lease row exists");
    assert_eq!(row.value, taken);
}

// Guards against mixing up the answers of concurrent calls that share the connection pool.
#[tokio::test]
async fn concurrent_calls_get_their_own_answers() {
    let (_server, client) = server().await;
    let client = std::sync::Arc::new(client);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..64_u32 {
        let client = std::sync::Arc::clone(&client);
        calls.spawn(async move {
            let name = format!("object-{number}");
            store::Store::put(&*client, &name, &number.to_be_bytes())
                .await
                .expect("no fault");
            let bytes = store::Store::get(&*client, &name).await.expect("no fault");
            assert_eq!(bytes.as_deref(), Some(&number.to_be_bytes()[..]));
        });
    }
    while let Some(call) = calls.join_next().await {
        call.expect("the call does not panic");
    }
}
