//! Variants of the host decisions that an experiment compares.

/// Set of decisions that the hosts use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one decision that an experiment switches"
)]
pub struct Variant {
    /// Name on the command line and in the output.
    pub name: &'static str,
    /// One-line description for the output.
    pub description: &'static str,
    /// Whether requests for an object prefer its home server.
    pub affinity: bool,
    /// Which requests are refused.
    pub refusal: Refusal,
    /// Whether a region with few servers sends a fixed share of its objects to other regions.
    pub spill: bool,
    /// Whether hosts report the loads of servers to one another.
    pub gossip: bool,
    /// Whether hosts keep to the limits that servers name.
    pub limits: bool,
    /// Whether callers that return after a refusal may wait longer.
    pub returning: bool,
    /// Whether a full service is shared fairly between workspaces.
    pub shares: bool,
    /// Whether refused callers return as fast as they can be served.
    pub backlog: bool,
    /// Whether the server is chosen with full knowledge of the queues and caches of all servers.
    pub knowing: bool,
}

/// Rule by which hosts refuse requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Refuses no request.
    Nothing,
    /// Refuses requests that would wait for longer than their objective permits.
    Wait,
    /// Refuses requests that would wait and are expected to miss the objective.
    Late,
}

const PRESENT: Variant = Variant {
    name: "present",
    description: "the decisions of the daemon",
    affinity: true,
    refusal: Refusal::Wait,
    spill: true,
    gossip: true,
    limits: true,
    returning: true,
    shares: true,
    backlog: true,
    knowing: false,
};

/// All variants; the first one has the decisions of the daemon.
pub const VARIANTS: [Variant; 12] = [
    PRESENT,
    Variant {
        name: "no-affinity",
        description: "objects have no home server",
        affinity: false,
        ..PRESENT
    },
    Variant {
        name: "no-refusal",
        description: "every request is sent",
        refusal: Refusal::Nothing,
        ..PRESENT
    },
    Variant {
        name: "refuse-late",
        description: "requests that would wait and are expected to be late are refused",
        refusal: Refusal::Late,
        ..PRESENT
    },
    Variant {
        name: "no-spill",
        description: "no share of the objects leaves its region",
        spill: false,
        ..PRESENT
    },
    Variant {
        name: "no-gossip",
        description: "hosts do not report the loads of servers to one another",
        gossip: false,
        ..PRESENT
    },
    Variant {
        name: "no-limits",
        description: "hosts do not know of the limits that servers name",
        limits: false,
        ..PRESENT
    },
    Variant {
        name: "no-returning",
        description: "callers that return after a refusal wait no longer than others",
        returning: false,
        ..PRESENT
    },
    Variant {
        name: "no-shares",
        description: "a full service is not shared between workspaces",
        shares: false,
        ..PRESENT
    },
    Variant {
        name: "no-backlog",
        description: "refused callers return when the queue is short, however many they are",
        backlog: false,
        ..PRESENT
    },
    Variant {
        name: "former-admission",
        description: "admission without returning callers, shares and the rate of answers",
        returning: false,
        shares: false,
        backlog: false,
        ..PRESENT
    },
    Variant {
        name: "knowing",
        description: "full knowledge of queues and caches at the moment of the choice",
        knowing: true,
        ..PRESENT
    },
];
