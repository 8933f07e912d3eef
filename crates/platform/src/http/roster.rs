//! Roster over HTTP.

use super::Client;
use crate::roster::{Entry, ProtocolSnafu, Result, Roster, UnavailableSnafu};
use async_trait::async_trait;
use http::{Method, StatusCode};
use http_body_util::Full;

const PATH: &str = "/roster";

#[async_trait]
impl Roster for Client {
    async fn list(&self) -> Result<Vec<Entry>> {
        let request = self
            .request(Method::GET, PATH)
            .body(Full::default())
            .map_err(|_source| UnavailableSnafu.build())?;
        let Ok(answer) = self.call(request).await else {
            return UnavailableSnafu.fail();
        };
        let status = answer.status();
        if status.is_server_error() {
            return UnavailableSnafu.fail();
        }
        let entries = match status {
            StatusCode::OK => serde_json::from_slice(answer.body()).ok(),
            _ => None,
        };
        entries.ok_or_else(|| {
            ProtocolSnafu {
                status: status.as_u16(),
            }
            .build()
        })
    }
}
