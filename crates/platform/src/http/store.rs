//! Object store over HTTP.

use super::{Client, is_success, path};
use crate::store::{ProtocolSnafu, Result, Store, UnavailableSnafu};
use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::Full;

const PREFIX: &str = "/object/";

#[async_trait]
impl Store for Client {
    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let request = self
            .request(Method::GET, &path(PREFIX, name))
            .body(Full::default())
            .map_err(|_source| UnavailableSnafu { name }.build())?;
        let Ok(answer) = self.call(request).await else {
            return UnavailableSnafu { name }.fail();
        };
        match answer.status() {
            StatusCode::OK => Ok(Some(answer.into_body().to_vec())),
            StatusCode::NOT_FOUND => Ok(None),
            status => unexpected(name, status),
        }
    }

    async fn put(&self, name: &str, bytes: &[u8]) -> Result<()> {
        let request = self
            .request(Method::PUT, &path(PREFIX, name))
            .body(Full::new(Bytes::copy_from_slice(bytes)))
            .map_err(|_source| UnavailableSnafu { name }.build())?;
        // Writing an object again is harmless, so that a lost answer needs no class of its own.
        let Ok(answer) = self.call(request).await else {
            return UnavailableSnafu { name }.fail();
        };
        match answer.status() {
            status if is_success(status) => Ok(()),
            status => unexpected(name, status),
        }
    }
}

fn unexpected<T>(name: &str, status: StatusCode) -> Result<T> {
    if status.is_server_error() {
        return UnavailableSnafu { name }.fail();
    }
    ProtocolSnafu {
        name,
        status: status.as_u16(),
    }
    .fail()
}
