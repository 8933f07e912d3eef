//! Table over HTTP.

use super::{Client, FAILED, FAILED_FENCE, FENCE, Failure, Unexpected, encode, is_success, path};
use crate::table::{
    AmbiguousSnafu, ConflictSnafu, Error, Expect, Fence, FencedSnafu, ProtocolSnafu, Result, Row,
    Table, UnavailableSnafu,
};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Response, StatusCode, header, request::Builder};
use http_body_util::Full;

const PREFIX: &str = "/table/";

#[async_trait]
impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>> {
        let request = self
            .request(Method::GET, &path(PREFIX, key))
            .body(Full::default())
            .map_err(|_source| UnavailableSnafu { key }.build())?;
        let Ok(answer) = self.call(request).await else {
            return UnavailableSnafu { key }.fail();
        };
        let status = answer.status();
        match status {
            StatusCode::OK => row(&answer).map(Some).ok_or_else(|| protocol(key, status)),
            StatusCode::NOT_FOUND => Ok(None),
            _ if status.is_server_error() => UnavailableSnafu { key }.fail(),
            _ => Err(protocol(key, status)),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        fence: Option<&Fence>,
    ) -> Result<u64> {
        let request = self.request(Method::PUT, &path(PREFIX, key));
        let request = match expect {
            Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(version) => request.header(header::IF_MATCH, format!("\"{version}\"")),
        };
        let answer = self.write(key, request, value, fence).await?;
        // The write took effect; only its version is unknown.
        version(&answer).ok_or_else(|| AmbiguousSnafu { key }.build())
    }

    async fn delete(&self, key: &str, version: u64, fence: Option<&Fence>) -> Result<()> {
        let request = self
            .request(Method::DELETE, &path(PREFIX, key))
            .header(header::IF_MATCH, format!("\"{version}\""));
        self.write(key, request, &[], fence).await.map(drop)
    }
}

impl Client {
    async fn write(
        &self,
        key: &str,
        mut request: Builder,
        value: &[u8],
        fence: Option<&Fence>,
    ) -> Result<Response<Bytes>> {
        if let Some(Fence { key, token }) = fence {
            request = request.header(FENCE, format!("{}={token}", encode(key)));
        }
        let request = request
            .body(Full::new(Bytes::copy_from_slice(value)))
            .map_err(|_source| UnavailableSnafu { key }.build())?;
        match self.call(request).await {
            Ok(answer) if is_success(answer.status()) => Ok(answer),
            Ok(answer) => Err(refusal(key, fence, &answer)),
            Err(Failure::NotSent) => UnavailableSnafu { key }.fail(),
            Err(Failure::Lost) => AmbiguousSnafu { key }.fail(),
        }
    }
}

fn refusal(key: &str, fence: Option<&Fence>, answer: &Response<Bytes>) -> Error {
    if answer.status() == StatusCode::PRECONDITION_FAILED {
        let fenced = answer
            .headers()
            .get(FAILED)
            .is_some_and(|name| name == FAILED_FENCE);
        return match fence {
            Some(Fence { key, token }) if fenced => FencedSnafu { key, token: *token }.build(),
            _ => ConflictSnafu {
                key,
                row: row(answer),
            }
            .build(),
        };
    }
    match Unexpected::new(answer) {
        Unexpected::NotWritten => UnavailableSnafu { key }.build(),
        Unexpected::Ambiguous => AmbiguousSnafu { key }.build(),
        Unexpected::Protocol(status) => ProtocolSnafu { key, status }.build(),
    }
}

fn row(answer: &Response<Bytes>) -> Option<Row> {
    Some(Row {
        version: version(answer)?,
        value: answer.body().to_vec(),
    })
}

fn version(answer: &Response<Bytes>) -> Option<u64> {
    let tag = answer.headers().get(header::ETAG)?.to_str().ok()?;
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}

fn protocol(key: &str, status: StatusCode) -> Error {
    ProtocolSnafu {
        key,
        status: status.as_u16(),
    }
    .build()
}
