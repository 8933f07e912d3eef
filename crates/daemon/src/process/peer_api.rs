//! HTTP API for other hosts.

use crate::process::{
    budget,
    node::Node,
    peers, planner, send,
    serve::{Handler, status},
};
use async_trait::async_trait;
use azurenotch_wire::{
    budget::Report,
    evidence,
    peer::{Fetch, Fetched, Heartbeat},
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use ractor::{ActorRef, rpc::CallResult};
use serde::{Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};

/// Timeout for the reply of an actor.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP API for other hosts.
#[derive(Debug)]
pub struct PeerApi {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Actor that processes heartbeats.
    pub peers: ActorRef<peers::Message>,
    /// Actor that answers budget reports.
    pub budget: ActorRef<budget::Message>,
    /// Actor that processes evidence about version moves.
    pub planner: ActorRef<planner::Message>,
}

#[async_trait]
impl Handler for PeerApi {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        if request.method() != Method::POST {
            return status(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = request.body();
        match request.uri().path() {
            "/peer/heartbeat" => self.heartbeat(body),
            "/peer/snapshot" => self.snapshot(body),
            "/peer/budget" => self.budget(body).await,
            "/peer/evidence" => self.evidence(body),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

impl PeerApi {
    fn heartbeat(&self, body: &[u8]) -> Response<Bytes> {
        let Some(heartbeat) = decode::<Heartbeat>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        send(&self.peers, peers::Message::Received(Box::new(heartbeat)));
        encode(&self.node.heartbeat())
    }

    fn snapshot(&self, body: &[u8]) -> Response<Bytes> {
        let Some(fetch) = decode::<Fetch>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let encoded = self.node.encoded.load_full();
        let newer = encoded.filter(|encoded| encoded.version > fetch.held);
        let fetched = newer.map_or(Fetched::Current, |encoded| Fetched::Snapshot {
            version: encoded.version,
            digest: encoded.digest.clone(),
            bytes: encoded.bytes.clone(),
        });
        encode(&fetched)
    }

    fn evidence(&self, body: &[u8]) -> Response<Bytes> {
        let Some(reports) = decode::<Vec<evidence::Report>>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        send(&self.planner, planner::Message::Evidence(reports));
        encode(&())
    }

    async fn budget(&self, body: &[u8]) -> Response<Bytes> {
        let Some(report) = decode::<Report>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let call = self.budget.call(
            |reply| budget::Message::Report(Box::new(report), reply),
            Some(ACTOR_TIMEOUT),
        );
        match call.await {
            Ok(CallResult::Success(Some(grant))) => encode(&grant),
            Ok(CallResult::Success(None)) => status(StatusCode::CONFLICT),
            _ => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

fn encode<T: Serialize>(message: &T) -> Response<Bytes> {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => Response::new(bytes.into()),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
