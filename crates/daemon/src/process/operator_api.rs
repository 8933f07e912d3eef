//! HTTP API for operators and monitoring.

use crate::process::{
    change, configuration,
    node::Node,
    peers, send,
    serve::{Handler, status},
};
use async_trait::async_trait;
use azurenotch_config::change::Change;
use azurenotch_wire::{
    event::Reachability,
    operator::{Accepted, Peer, Problem, Status},
    peer::State,
};
use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use prometheus::{Registry, TextEncoder};
use ractor::ActorRef;
use serde::Serialize;
use std::{sync::Arc, time::Duration};

/// Timeout for a configuration change to be accepted.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP API for operators and monitoring.
#[derive(Debug)]
pub struct OperatorApi {
    /// Shared state of the host.
    pub node: Arc<Node>,
    /// Metrics of the process.
    pub registry: Registry,
    /// Actor that accepts changes.
    pub configuration: ActorRef<configuration::Message>,
    /// Actor that announces an accepted change at once.
    pub peers: ActorRef<peers::Message>,
}

#[async_trait]
impl Handler for OperatorApi {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "alive\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/v1/status") => json(StatusCode::OK, &self.status()),
            (&Method::GET, "/v1/hosts") => json(StatusCode::OK, &self.hosts()),
            (&Method::GET, "/v1/events") => self.events(request.uri().query()),
            (&Method::GET, "/v1/snapshot") => self.snapshot(),
            (&Method::POST, "/v1/change") => self.change(request.body()).await,
            (&Method::GET | &Method::POST, _) => problem(
                StatusCode::NOT_FOUND,
                "not-found",
                format!("no page {path}"),
            ),
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }
}

impl OperatorApi {
    fn ready(&self) -> Response<Bytes> {
        match self.node.state() {
            State::Live => text(StatusCode::OK, "ready\n"),
            // The host can already answer while it waits for its share of the budget.
            State::Starting if self.node.gateway.current().is_some() => {
                text(StatusCode::OK, "ready\n")
            }
            state => text(StatusCode::SERVICE_UNAVAILABLE, &format!("{state}\n")),
        }
    }

    fn metrics(&self) -> Response<Bytes> {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(metrics) => text(StatusCode::OK, &metrics),
            Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    fn status(&self) -> Status {
        let heartbeat = self.node.heartbeat();
        Status {
            host: heartbeat.host,
            incarnation: heartbeat.incarnation,
            data_centre: heartbeat.data_centre,
            state: heartbeat.state,
            version: heartbeat.version,
            store_contact_ms: heartbeat.store_contact_ms,
            in_flight: heartbeat.in_flight,
            roles: heartbeat.roles.into_iter().map(|role| role.name).collect(),
        }
    }

    fn hosts(&self) -> Vec<Peer> {
        let own = self.node.heartbeat();
        let own = Peer {
            host: own.host,
            data_centre: own.data_centre,
            address: own.address,
            operator: own.operator,
            state: if own.state == State::Leaving {
                Reachability::Leaving
            } else {
                Reachability::Live
            },
            version: own.version,
        };
        let others = self.node.peers.load();
        let others = others.iter().map(|peer| Peer {
            host: peer.host.clone(),
            data_centre: peer.data_centre.clone(),
            address: peer.address,
            operator: peer.operator,
            state: peer.state,
            version: peer.version,
        });
        let mut hosts = others.chain([own]).collect::<Vec<_>>();
        hosts.sort_by(|a, b| a.host.cmp(&b.host));
        hosts
    }

    fn events(&self, query: Option<&str>) -> Response<Bytes> {
        let after = query
            .unwrap_or_default()
            .split('&')
            .find_map(|pair| pair.strip_prefix("after="))
            .map_or(Ok(0), str::parse);
        let Ok(after) = after else {
            let detail = "after must be a sequence number".to_owned();
            return problem(StatusCode::BAD_REQUEST, "malformed", detail);
        };
        json(StatusCode::OK, &self.node.recorder.after(after))
    }

    fn snapshot(&self) -> Response<Bytes> {
        let Some(snapshot) = self.node.snapshot() else {
            let detail = "this host holds no configuration yet".to_owned();
            return problem(StatusCode::NOT_FOUND, "no-configuration", detail);
        };
        json(StatusCode::OK, &*snapshot)
    }

    async fn change(&self, body: &[u8]) -> Response<Bytes> {
        let change = match serde_json::from_slice::<Change>(body) {
            Ok(change) => change,
            Err(error) => {
                return problem(StatusCode::BAD_REQUEST, "malformed", error.to_string());
            }
        };
        match configuration::request(&self.configuration, change, None, CHANGE_TIMEOUT).await {
            Ok(version) => {
                // Without the announcement, other hosts learn of the version a heartbeat later.
                send(&self.peers, peers::Message::Announce);
                json(StatusCode::OK, &Accepted { version })
            }
            Err(error) => refused(&error),
        }
    }
}

fn refused(error: &change::Error) -> Response<Bytes> {
    let status = match error.code() {
        "conflict" => StatusCode::CONFLICT,
        "store-down" => StatusCode::SERVICE_UNAVAILABLE,
        "unknown" => StatusCode::GATEWAY_TIMEOUT,
        "malformed-store" => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let problem = Problem {
        code: error.code().to_owned(),
        detail: error.to_string(),
        current: error.current(),
    };
    json(status, &problem)
}

fn problem(status: StatusCode, code: &str, detail: String) -> Response<Bytes> {
    json(
        status,
        &Problem {
            code: code.to_owned(),
            detail,
            current: None,
        },
    )
}

fn json<T: Serialize>(code: StatusCode, body: &T) -> Response<Bytes> {
    match serde_json::to_vec(body) {
        Ok(bytes) => typed(code, "application/json", bytes.into()),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn text(code: StatusCode, body: &str) -> Response<Bytes> {
    typed(
        code,
        "text/plain; charset=utf-8",
        Bytes::copy_from_slice(body.as_bytes()),
    )
}

fn typed(code: StatusCode, content_type: &'static str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = code;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
