//! Headers, paths and query fields of the platform's HTTP protocol.

use http::HeaderName;

/// Headers, paths and query fields that callers and backend servers use.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Header with the id that the caller gives each attempt of a request.
    pub request_id: HeaderName,
    /// Header with the caller's timeout in milliseconds.
    pub deadline: HeaderName,
    /// Header with the key of the object that a request is for, used for affinity.
    pub object: HeaderName,
    /// Header with the workspace; set by hosts and removed from callers' requests.
    pub workspace: HeaderName,
    /// Header with the id of the only backend server that may run the request.
    pub expected: HeaderName,
    /// Header that a backend server adds to every answer; without it a success is not accepted.
    pub signature: HeaderName,
    /// Header of an answer to a request that the backend server did not run.
    pub not_run: HeaderName,
    /// Header with the value 1 in all answers of a backend server that is leaving.
    pub leaving: HeaderName,
    /// Header with the requests per second that a backend server takes from all hosts together.
    pub limit: HeaderName,
    /// Header with the load of a backend server, see [`Format::load`].
    ///
    /// [`Format::load`]: crate::platform::Format::load
    pub load: HeaderName,
    /// Header with the id of the answering backend server.
    pub server: HeaderName,
    /// Header with the milliseconds for which the backend server stays cold.
    pub cold: HeaderName,
    /// Scheme of the `Authorization` header.
    pub scheme: &'static str,
    /// Path of look-ups.
    pub look_up: &'static str,
    /// Path of readiness checks.
    pub ready: &'static str,
    /// Query field of a look-up: the host name to resolve.
    pub look_up_name: &'static str,
    /// Query field of a look-up: the caller's data centre.
    pub look_up_data_centre: &'static str,
    /// Query field of a look-up: the caller's region.
    pub look_up_region: &'static str,
}
