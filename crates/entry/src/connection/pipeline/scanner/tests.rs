//! Requests that are found, and texts at which the search stops.

use super::Scanner;
use test_case::test_case;

const MAX_HEADER_BYTES: usize = 512;

/// Returns the paths of the requests that are found, with `+` before those without a body.
fn paths(scanner: &mut Scanner, bytes: &[u8]) -> Vec<String> {
    let found = scanner.scan(bytes).into_iter();
    let found = found.map(|seen| {
        let mark = if seen.plain { "+" } else { "" };
        format!("{mark}{}", seen.request.uri().path())
    });
    found.collect()
}

/// Bytes of a connection and the requests that are found in them.
struct Case {
    bytes: &'static str,
    found: &'static [&'static str],
}

#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n",
    found: &["+/a", "+/b"],
}; "two requests")]
#[test_case(Case {
    bytes: "POST /a HTTP/1.1\r\ncontent-length: 30\r\n\r\nGET /in-body HTTP/1.1\r\nx: y\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a", "+/b"],
}; "a request inside a body")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\ncontent-length: 0\r\nconnection: Keep-Alive\r\n\r\nHEAD /b HTTP/1.1\r\n\r\n",
    found: &["+/a", "+/b"],
}; "an empty body")]
#[test_case(Case {
    bytes: "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a"],
}; "chunks")]
#[test_case(Case {
    bytes: "POST /a HTTP/1.1\r\ncontent-length: 0\r\ntransfer-encoding: chunked\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a"],
}; "length and chunks")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 27\r\n\r\nGET /b HTTP/1.1\r\nx: yyyy\r\n\r\n",
    found: &["/a"],
}; "two lengths")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\ncontent-length: 0, 0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a"],
}; "a list of lengths")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\ncontent-length: +0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a"],
}; "a signed length")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\nconnection: close\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &["/a"],
}; "the last request")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\nhost: h\n\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n",
    found: &[],
}; "bare line feeds")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\nhost : h\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &[],
}; "a space before the colon")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.1\r\nhost: h\r\n folded\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &[],
}; "a folded line")]
#[test_case(Case {
    bytes: "GET /a HTTP/1.0\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
    found: &[],
}; "a former version")]
#[test_case(Case {
    bytes: "\r\n\r\nGET /a HTTP/1.1\r\n\r\n",
    found: &[],
}; "empty lines")]
fn only_certain_requests_are_found(case: Case) {
    let mut whole = Scanner::new(MAX_HEADER_BYTES);
    assert_eq!(paths(&mut whole, case.bytes.as_bytes()), case.found);
    // The same bytes cut at every place.
    for cut in 0..case.bytes.len() {
        let mut scanner = Scanner::new(MAX_HEADER_BYTES);
        let (first, last) = case.bytes.as_bytes().split_at(cut);
        let mut found = paths(&mut scanner, first);
        found.extend(paths(&mut scanner, last));
        assert_eq!(found, case.found, "cut at {cut}");
    }
    let mut scanner = Scanner::new(MAX_HEADER_BYTES);
    let bytes = case.bytes.as_bytes().iter();
    let found: Vec<_> = bytes
        .flat_map(|byte| paths(&mut scanner, &[*byte]))
        .collect();
    assert_eq!(found, case.found, "byte by byte");
}

#[test]
fn a_header_above_the_limit_ends_the_search() {
    let mut scanner = Scanner::new(MAX_HEADER_BYTES);
    let long = format!("GET /a HTTP/1.1\r\nx: {}", "y".repeat(MAX_HEADER_BYTES));
    assert!(paths(&mut scanner, long.as_bytes()).is_empty());
    assert!(paths(&mut scanner, b"\r\n\r\nGET /b HTTP/1.1\r\n\r\n").is_empty());
}
