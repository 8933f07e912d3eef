//! In-process platform server with injectable faults.
//!
//! It implements the protocol of [`azurenotch_platform::http`]. In addition, `PUT /control/fault`
//! accepts JSON like `{"table":{"down":true}}`, where kinds that are left out keep their faults,
//! `GET /control/counters` answers the numbers of calls, and `PUT /control/roster` replaces the
//! host list. Faults do not apply to the control paths.

use crate::{
    fault::{Counter, Endpoint, Fault, PerEndpoint},
    memory::{self, Effect, Failure, Refused, Write},
    serve::{Hangup, Listener, Reservation},
};
use azurenotch_platform::{
    http::{FAILED, FAILED_FENCE, FENCE, Report},
    roster,
    table::{Expect, Fence, Row},
};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use std::{io, net::SocketAddr};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

type Answer = Response<Full<Bytes>>;

/// Platform server; it stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    platform: memory::Platform,
    reservation: Reservation,
    listener: Mutex<Option<Listener>>,
}

impl Server {
    /// Starts a server on a port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the port.
    pub async fn start(seed: u64) -> io::Result<Self> {
        Self::bind(([127, 0, 0, 1], 0).into(), memory::Platform::new(seed)).await
    }

    /// Starts a server for an in-memory platform on the given address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(address: SocketAddr, platform: memory::Platform) -> io::Result<Self> {
        let reservation = Reservation::new(address)?;
        let listener = listen(&reservation, &platform).await?;
        Ok(Self {
            platform,
            reservation,
            listener: Mutex::new(Some(listener)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.reservation.address
    }

    /// Returns the in-memory platform of the server, which shares its faults.
    pub fn platform(&self) -> &memory::Platform {
        &self.platform
    }

    /// Replaces the faults of one kind of endpoint.
    pub fn set_fault(&self, endpoint: Endpoint, fault: Fault) {
        self.platform.set_fault(endpoint, fault);
    }

    /// Replaces the host list.
    pub fn set_roster(&self, entries: Vec<roster::Entry>) {
        self.platform.set_roster(entries);
    }

    /// Returns the numbers of calls so far.
    pub fn counters(&self) -> PerEndpoint<Counter> {
        self.platform.counters()
    }

    /// Waits until the numbers of calls meet a condition.
    pub async fn wait_for(&self, condition: impl FnMut(&PerEndpoint<Counter>) -> bool) {
        self.platform.wait_for(condition).await;
    }

    /// Closes the listening socket and all connections, so that new ones are refused.
    ///
    /// The port stays reserved for this server.
    pub async fn close(&self) {
        let listener = self.listener.lock().take();
        if let Some(listener) = listener {
            listener.close().await;
        }
    }

    /// Listens again on the same address after [`Server::close`].
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn reopen(&self) -> io::Result<()> {
        self.close().await;
        let listener = listen(&self.reservation, &self.platform).await?;
        *self.listener.lock() = Some(listener);
        Ok(())
    }
}

async fn listen(reservation: &Reservation, platform: &memory::Platform) -> io::Result<Listener> {
    let platform = platform.clone();
    Listener::bind(reservation, move |stream, listener| {
        let platform = platform.clone();
        listener.serve(stream, move |request| answer(platform.clone(), request));
    })
    .await
}

async fn answer(platform: memory::Platform, request: Request<Incoming>) -> Result<Answer, Hangup> {
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return Err(Hangup);
    };
    let body = body.to_bytes();
    let path = head.uri.path();
    let named = |prefix| {
        let name = path.strip_prefix(prefix)?;
        Some(percent_decode_str(name).decode_utf8().ok()?.into_owned())
    };
    if let Some(key) = named("/table/") {
        return table(&platform, &head.method, &key, &head.headers, &body).await;
    }
    if let Some(name) = named("/object/") {
        return object(&platform, &head.method, name, &body).await;
    }
    match (&head.method, path) {
        (&Method::GET, "/roster") => {
            let entries = platform
                .execute(Endpoint::Roster, false, |state| {
                    (state.roster.clone(), Effect::Read)
                })
                .await;
            entries.map_or_else(failure_answer, |entries| Ok(json(&entries)))
        }
        (&Method::GET, "/control/counters") => Ok(json(&platform.counters())),
        (&Method::PUT, "/control/fault") => Ok(control_fault(&platform, &body)),
        (&Method::PUT, "/control/roster") => Ok(match serde_json::from_slice(&body) {
            Ok(entries) => {
                platform.set_roster(entries);
                status(StatusCode::NO_CONTENT)
            }
            Err(_) => status(StatusCode::BAD_REQUEST),
        }),
        _ => Ok(status(StatusCode::NOT_FOUND)),
    }
}

async fn table(
    platform: &memory::Platform,
    method: &Method,
    key: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Answer, Hangup> {
    if method == Method::GET {
        let name = key.to_owned();
        let read = platform
            .execute(Endpoint::Table, false, move |state| {
                (state.rows.get(&name).cloned(), Effect::Read)
            })
            .await;
        return match read {
            Ok(Some(row)) => Ok(tagged(StatusCode::OK, row)),
            Ok(None) => Ok(status(StatusCode::NOT_FOUND)),
            Err(fault) => failure_answer(fault),
        };
    }
    let (Some(write), Ok(fence)) = (condition(method, headers, body), fence(headers)) else {
        return Ok(status(StatusCode::BAD_REQUEST));
    };
    match platform.write_row(key, write, fence.as_ref()).await {
        Ok(Ok(version)) => Ok(tagged(
            StatusCode::NO_CONTENT,
            Row {
                version,
                value: Vec::new(),
            },
        )),
        Ok(Err(Refused::Conflict(Some(row)))) => Ok(tagged(StatusCode::PRECONDITION_FAILED, row)),
        Ok(Err(Refused::Conflict(None))) => Ok(status(StatusCode::PRECONDITION_FAILED)),
        Ok(Err(Refused::Fenced { .. })) => {
            let mut answer = status(StatusCode::PRECONDITION_FAILED);
            let value = header::HeaderValue::from_static(FAILED_FENCE);
            answer.headers_mut().insert(FAILED, value);
            Ok(answer)
        }
        Err(fault) => failure_answer(fault),
    }
}

async fn object(
    platform: &memory::Platform,
    method: &Method,
    name: String,
    body: &Bytes,
) -> Result<Answer, Hangup> {
    match *method {
        Method::GET => {
            let read = platform.execute(Endpoint::Object, false, move |state| {
                (state.objects.get(&name).cloned(), Effect::Read)
            });
            match read.await {
                Ok(Some(bytes)) => Ok(Response::new(Full::new(bytes.into()))),
                Ok(None) => Ok(status(StatusCode::NOT_FOUND)),
                Err(fault) => failure_answer(fault),
            }
        }
        Method::PUT => {
            let bytes = body.to_vec();
            let write = platform.execute(Endpoint::Object, true, move |state| {
                state.objects.insert(name, bytes);
                ((), Effect::Write)
            });
            match write.await {
                Ok(()) => Ok(status(StatusCode::NO_CONTENT)),
                Err(fault) => failure_answer(fault),
            }
        }
        _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

fn condition(method: &Method, headers: &HeaderMap, body: &Bytes) -> Option<Write> {
    let text = |name| headers.get(name)?.to_str().ok();
    let version = text(header::IF_MATCH)
        .and_then(|tag| tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok());
    match (method, version, text(header::IF_NONE_MATCH)) {
        (&Method::PUT, Some(version), None) => {
            Some(Write::Put(body.to_vec(), Expect::Version(version)))
        }
        (&Method::PUT, None, Some("*")) => Some(Write::Put(body.to_vec(), Expect::Absent)),
        (&Method::DELETE, Some(version), None) => Some(Write::Delete(version)),
        _ => None,
    }
}

/// Parses the fence header; a malformed header is an error, not an absent fence.
fn fence(headers: &HeaderMap) -> Result<Option<Fence>, Hangup> {
    let Some(value) = headers.get(FENCE) else {
        return Ok(None);
    };
    let parse = || {
        let (key, token) = value.to_str().ok()?.rsplit_once('=')?;
        let key = percent_decode_str(key).decode_utf8().ok()?.into_owned();
        let token = token.parse().ok()?;
        Some(Fence { key, token })
    };
    parse().map(Some).ok_or(Hangup)
}

fn control_fault(platform: &memory::Platform, body: &Bytes) -> Answer {
    let Ok(faults) = serde_json::from_slice::<PerEndpoint<Option<Fault>>>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    for endpoint in [Endpoint::Table, Endpoint::Object, Endpoint::Roster] {
        if let Some(fault) = faults.get(endpoint) {
            platform.set_fault(endpoint, fault.clone());
        }
    }
    status(StatusCode::NO_CONTENT)
}

fn failure_answer(fault: Failure) -> Result<Answer, Hangup> {
    let mut answer = match fault {
        Failure::Lost => return Err(Hangup),
        Failure::NotWritten => json(&Report { written: false }),
        Failure::Ambiguous => status(StatusCode::SERVICE_UNAVAILABLE),
    };
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    Ok(answer)
}

fn tagged(code: StatusCode, row: Row) -> Answer {
    let mut answer = Response::new(Full::new(row.value.into()));
    *answer.status_mut() = code;
    let tag = header::HeaderValue::try_from(format!("\"{}\"", row.version));
    answer.headers_mut().insert(
        header::ETAG,
        tag.expect("a quoted number is a header value"),
    );
    answer
}

fn json(value: &impl serde::Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("the types of this module serialize");
    Response::new(Full::new(body.into()))
}

fn status(code: StatusCode) -> Answer {
    let mut answer = Response::default();
    *answer.status_mut() = code;
    answer
}
