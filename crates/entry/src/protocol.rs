//! Names that callers and backend servers use on the wire.

use http::HeaderName;

/// Names that callers and backend servers use on the wire.
#[derive(Debug, Clone)]
pub struct Protocol {
    /// Header with the id of a caller's attempt.
    pub request_id: HeaderName,
    /// Header with the milliseconds that the caller waits.
    pub deadline: HeaderName,
    /// Header that names the object of a request.
    pub object: HeaderName,
    /// Header with the workspace, which only hosts set.
    pub workspace: HeaderName,
    /// Header with the only backend server that may run the request.
    pub expected: HeaderName,
    /// Header that marks an answer as made by a backend server.
    pub signature: HeaderName,
    /// Header of answers to requests that were not run.
    pub not_run: HeaderName,
    /// Header with the load of a backend server: running, waiting and slots.
    pub load: HeaderName,
    /// Header with the id of the answering backend server.
    pub server: HeaderName,
    /// Header with the milliseconds that a server stays cold.
    pub cold: HeaderName,
    /// Scheme of the `Authorization` header.
    pub scheme: &'static str,
    /// Path of look-ups.
    pub look_up: &'static str,
    /// Path of readiness checks.
    pub ready: &'static str,
    /// Field of a look-up's query with the wanted host name.
    pub look_up_name: &'static str,
    /// Field of a look-up's query with the caller's data centre.
    pub look_up_data_centre: &'static str,
    /// Field of a look-up's query with the caller's region.
    pub look_up_region: &'static str,
}
