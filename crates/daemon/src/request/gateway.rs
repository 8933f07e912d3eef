//! Entry point of callers' requests on the data path.

use crate::{
    request::{
        admission::{Admission, Local, Permit},
        body::Body,
        clock::Clock,
        directory::{Directory, Fixed},
        forward::{self, Job},
        freshness::{Always, Freshness},
        head::timeout,
        idempotency::{Records, Start, Unavailable},
        journal::Journal,
        metrics::Metrics,
        refuse,
        release::{Choice, Selector, Stable},
        running::{RunningRequest, RunningRequests},
        upload::Source,
    },
    version::current::Current,
};
use arc_swap::ArcSwapOption;
use azurenotch_config::snapshot::Snapshot;
use azurenotch_core::request::{
    access::{Grant, Holder},
    deadline::Deadline,
    path,
    retry::Budget,
};
use azurenotch_entry::request::reply::GaugeGuard;
use azurenotch_wire::{
    id::{DataCentre, Host, Incarnation},
    refusal::{Reason, Refusal},
};
use http::{HeaderValue, Method, Request, Response, header, request::Parts};
use hyper::body::{Body as _, Incoming};
use parking_lot::Mutex;
use prometheus::Registry;
use slog::{Discard, Logger, info, o};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Path of look-ups.
const LOOK_UP_PATH: &str = "/.azurenotch/lookup";
/// Lifetime of look-up answers if no directory was set.
const LOOK_UP_LIFETIME: Duration = Duration::from_secs(10);

/// Longest pause of a caller in the middle of a body, unless set otherwise.
pub const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests of one service that may wait for a free slot, unless set otherwise.
const MAX_WAITING_REQUESTS: usize = 512;

/// Result of a step on a request's path.
pub(crate) type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Answers requests of callers: forwards, replays or refuses them.
#[derive(Debug)]
pub struct Gateway {
    /// Prefix of request ids, unique to this run of the host.
    prefix: String,
    data_centre: DataCentre,
    seed: u64,
    counter: AtomicU64,
    current: ArcSwapOption<Current>,
    /// Held during [`Self::adopt`], so that snapshots are applied one at a time.
    adoption: Mutex<()>,
    leaving: AtomicBool,
    stopping: AtomicBool,
    running: RunningRequests,
    log: Logger,
    caller_stall_timeout: Duration,
    /// Requests of one service that may wait for a free slot.
    max_waiting: usize,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) admission: Arc<dyn Admission>,
    /// Directory of hosts.
    pub directory: Arc<dyn Directory>,
    pub(crate) freshness: Arc<dyn Freshness>,
    pub(crate) selector: Arc<dyn Selector>,
    pub(crate) records: Arc<dyn Records>,
    pub(crate) metrics: Metrics,
    journal: Arc<Journal>,
    pub(crate) retry: Mutex<Budget>,
}

/// Values that a request holds until it ends; dropping them releases its admission.
#[derive(Debug)]
pub(crate) struct Guards {
    pub(crate) running: Option<RunningRequest>,
    _permit: Option<Permit>,
    _in_flight: GaugeGuard,
}

/// Route and key holder of a request, if already known when it is refused.
#[derive(Debug, Default)]
struct RefusalContext {
    route: Option<azurenotch_wire::id::Route>,
    holder: Option<Holder>,
}

impl Gateway {
    /// Creates a gateway without a configuration, which refuses everything but look-ups.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn new(
        host: &Host,
        incarnation: Incarnation,
        data_centre: DataCentre,
        clock: Arc<dyn Clock>,
        registry: &Registry,
    ) -> std::result::Result<Self, prometheus::Error> {
        Ok(Self {
            prefix: format!("{host}-{:x}", incarnation.0),
            data_centre,
            seed: incarnation.0,
            counter: AtomicU64::new(0),
            current: ArcSwapOption::empty(),
            adoption: Mutex::default(),
            leaving: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            running: RunningRequests::default(),
            log: Logger::root(Discard, o!()),
            caller_stall_timeout: CALLER_STALL_TIMEOUT,
            max_waiting: MAX_WAITING_REQUESTS,
            clock,
            admission: Arc::new(Local::new()),
            directory: Arc::new(Fixed::new(LOOK_UP_LIFETIME)),
            freshness: Arc::new(Always),
            selector: Arc::new(Stable),
            records: Arc::new(Unavailable),
            metrics: Metrics::new(registry)?,
            journal: Arc::default(),
            retry: Mutex::default(),
        })
    }

    /// Sets the admission of workspaces.
    #[must_use]
    pub fn with_admission(mut self, admission: Arc<dyn Admission>) -> Self {
        self.admission = admission;
        self
    }

    /// Sets the directory of hosts.
    #[must_use]
    pub fn with_directory(mut self, directory: Arc<dyn Directory>) -> Self {
        self.directory = directory;
        self
    }

    /// Sets the check whether keys may be accepted at present.
    #[must_use]
    pub fn with_freshness(mut self, freshness: Arc<dyn Freshness>) -> Self {
        self.freshness = freshness;
        self
    }

    /// Sets the choice of the version of a service.
    #[must_use]
    pub fn with_release_selector(mut self, selector: Arc<dyn Selector>) -> Self {
        self.selector = selector;
        self
    }

    /// Sets the longest pause of a caller in the middle of a body.
    #[must_use]
    pub fn with_caller_stall_timeout(mut self, timeout: Duration) -> Self {
        self.caller_stall_timeout = timeout;
        self
    }

    /// Sets how many requests of one service may wait for a free slot.
    #[must_use]
    pub fn with_max_waiting(mut self, requests: usize) -> Self {
        self.max_waiting = requests;
        self
    }

    /// Sets the records of requests with an idempotency key.
    #[must_use]
    pub fn with_records(mut self, records: Arc<dyn Records>) -> Self {
        self.records = records;
        self
    }

    /// Sets the log.
    #[must_use]
    pub fn with_log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Applies a snapshot and cancels running requests whose key is not valid in it.
    ///
    /// Returns whether the snapshot was adopted; one that is not newer is ignored.
    pub fn adopt(&self, snapshot: Arc<Snapshot>) -> bool {
        let _one_at_a_time = self.adoption.lock();
        let previous = self.current.load_full();
        let version = snapshot.version;
        if previous
            .as_ref()
            .is_some_and(|it| it.snapshot().version >= version)
        {
            return false;
        }
        let now = self.clock.now();
        self.admission.adopt(now, &snapshot);
        self.records.adopt(now, &snapshot);
        let current = Arc::new(Current::new(
            now,
            snapshot,
            &self.data_centre,
            previous.as_deref(),
            self.max_waiting,
            &self.journal,
            self.seed,
        ));
        self.current.store(Some(Arc::clone(&current)));
        let ended = self.running.withdraw(|key| current.access().is_valid(key));
        info!(self.log, "gateway: configuration adopted"; "version" => %version, "ended" => ended);
        true
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.load_full()
    }

    /// Returns the admission of workspaces.
    pub fn admission(&self) -> &Arc<dyn Admission> {
        &self.admission
    }

    /// Announces a planned stop; callers keep their connections until [`Self::set_stopping`].
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop was announced.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Makes all further answers ask callers to close the connection.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the journal of events for the timeline.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the number of requests that have not ended.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.metrics.in_flight.get()).unwrap_or_default()
    }

    /// Closes backend connections that have been idle for too long.
    pub fn sweep(&self) {
        if let Some(current) = self.current() {
            current.sweep(self.clock.now());
        }
    }

    /// Answers one request of the caller at `client`.
    pub async fn handle(&self, request: Request<Incoming>, client: SocketAddr) -> Response<Body> {
        let mut response =
            if request.method() == Method::GET && request.uri().path() == LOOK_UP_PATH {
                self.look_up(request.uri().query(), client.ip())
            } else {
                let mut context = RefusalContext::default();
                match self.answer(request, &mut context).await {
                    Ok(response) => response,
                    Err(refusal) => self.refuse(refusal, context, client.ip()),
                }
            };
        if self.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Counts a refusal and returns the bytes of its answer, which asks to close the connection.
    pub fn refuse_raw(&self, refusal: &Refusal, client: IpAddr) -> Vec<u8> {
        self.metrics.refused("", refusal);
        refuse::raw(refusal, self.directory.alternatives(client))
    }

    /// Returns a new request id.
    pub(crate) fn request_id(&self) -> String {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }

    fn look_up(&self, query: Option<&str>, peer: IpAddr) -> Response<Body> {
        let named = query
            .into_iter()
            .flat_map(|query| query.split('&'))
            .find_map(|pair| pair.strip_prefix("client="));
        // The colons of an IPv6 address may be percent-encoded in a query.
        let client = named.map_or(Ok(peer), |text| {
            text.to_ascii_lowercase().replace("%3a", ":").parse()
        });
        match client {
            Ok(client) => refuse::look_up(&self.directory.look_up(client)),
            Err(_) => self.refuse(
                Refusal::not_run(Reason::Malformed),
                RefusalContext::default(),
                peer,
            ),
        }
    }

    fn refuse(
        &self,
        mut refusal: Refusal,
        context: RefusalContext,
        client: IpAddr,
    ) -> Response<Body> {
        if refusal.workspace.is_none() {
            refusal.workspace = context.holder.map(|holder| holder.workspace);
        }
        let route = context.route.as_ref().map_or("", |name| name.as_str());
        self.metrics.refused(route, &refusal);
        self.journal.refused(&refusal);
        refuse::answer(&refusal, self.directory.alternatives(client))
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        context: &mut RefusalContext,
    ) -> Result<Response<Body>> {
        let arrived = self.clock.now();
        let current = self
            .current()
            .ok_or(Refusal::not_run(Reason::NoConfiguration))?;
        let (head, body) = request.into_parts();
        let grant = self.grant(&current, &head)?;
        context.route = Some(grant.name.clone());
        context.holder.clone_from(&grant.holder);
        let deadline = Deadline::new(arrived, grant.route.timeout, timeout(&head.headers)?);
        // A body of unknown length is checked against the limit while it is sent.
        if body.size_hint().lower() > grant.route.body_limit {
            return Err(Refusal::not_run(Reason::BodyTooLarge));
        }
        let guards = self.admit(&current, &grant)?;
        let run = match self.begin(&grant, &head, deadline, &guards).await? {
            Start::Run(run) => run,
            Start::Replay(response) => return Ok(response),
        };
        let result = async {
            let choice = self.choose_release(&current, &grant)?;
            self.retry.lock().record_request();
            let upload = Source::new(body, grant.route.body_limit, self.caller_stall_timeout);
            let job = Job {
                gateway: self,
                grant: &grant,
                choice,
                head,
                upload,
                deadline,
                arrived,
                guards,
            };
            forward::run(job).await
        };
        run.pass_on(result.await)
    }

    fn grant(&self, current: &Current, head: &Parts) -> Result<Grant> {
        let path = head.uri.path();
        if path::is_ambiguous(path) {
            return Err(Refusal::not_run(Reason::Malformed));
        }
        let authorization = head.headers.get(header::AUTHORIZATION);
        let grant = current.access().admit(
            head.method.as_str(),
            path,
            authorization.map(HeaderValue::as_bytes),
        )?;
        if let Some(holder) = &grant.holder {
            let contracts = &current.snapshot().document.workspaces;
            if let Some(contract) = contracts.get(&holder.workspace) {
                self.freshness
                    .check(self.clock.now(), contract)
                    .map_err(|refusal| refusal.workspace(holder.workspace.clone()))?;
            }
        }
        Ok(grant)
    }

    fn admit(&self, current: &Current, grant: &Grant) -> Result<Guards> {
        let running = grant
            .holder
            .as_ref()
            .map(|holder| self.register(current, holder))
            .transpose()?;
        let permit = grant
            .holder
            .as_ref()
            .map(|holder| {
                let now = self.clock.now();
                self.admission.admit(now, &holder.workspace, &grant.route)
            })
            .transpose()?;
        Ok(Guards {
            running,
            _permit: permit,
            _in_flight: GaugeGuard::new(&self.metrics.in_flight),
        })
    }

    /// Registers a running request so that a withdrawal of its key ends it.
    fn register(&self, current: &Current, holder: &Holder) -> Result<RunningRequest> {
        let running = self.running.begin(holder.key);
        // A snapshot adopted since the check of the key did not find this request registered and
        // could not cancel it.
        let newest = self.current.load();
        let valid = newest.as_deref().is_none_or(|newest| {
            newest.snapshot().version == current.snapshot().version
                || newest.access().is_valid(&holder.key)
        });
        if valid {
            Ok(running)
        } else {
            Err(Refusal::not_run(Reason::Withdrawn))
        }
    }

    fn choose_release(&self, current: &Current, grant: &Grant) -> Result<Choice> {
        let refusal = Refusal::not_run(Reason::NoServer);
        let now = self.clock.now();
        let choice = self.selector.choose(now, current.snapshot(), grant);
        choice
            .filter(|choice| current.has_server(&grant.route.service, &choice.release))
            .ok_or(refusal)
    }
}
