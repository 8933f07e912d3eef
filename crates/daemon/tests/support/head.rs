//! Reading of HTTP headers from raw bytes.

use tokio::{io::AsyncReadExt, net::TcpStream};

/// Reads up to the end of a header and returns that position; `None` if the connection ended.
pub(super) async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    loop {
        if let Some(start) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            return Some(start + 4);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

pub(super) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
