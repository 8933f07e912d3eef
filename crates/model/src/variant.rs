//! Variants of the decisions that an experiment compares.

/// Which decisions a host takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is one decision that an experiment switches"
)]
pub struct Variant {
    /// Name.
    pub name: &'static str,
    /// What it changes in one line.
    pub about: &'static str,
    /// Whether objects have a home.
    pub affinity: bool,
    /// What is refused.
    pub refusal: Refusal,
    /// Whether a fixed share of the objects leaves a region with few servers.
    pub spill: bool,
    /// Whether hosts tell one another the loads of servers.
    pub gossip: bool,
    /// Whether the place is chosen with full knowledge of all servers.
    pub knowing: bool,
}

/// What is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing.
    Nothing,
    /// What would wait for longer than its objective permits.
    Wait,
    /// What would wait and is expected to be late.
    Late,
}

const PRESENT: Variant = Variant {
    name: "present",
    about: "the decisions of the daemon",
    affinity: true,
    refusal: Refusal::Wait,
    spill: true,
    gossip: true,
    knowing: false,
};

/// All variants; the first one is that of the daemon.
pub const VARIANTS: [Variant; 7] = [
    PRESENT,
    Variant {
        name: "no-affinity",
        about: "objects have no home",
        affinity: false,
        ..PRESENT
    },
    Variant {
        name: "no-refusal",
        about: "every request is sent",
        refusal: Refusal::Nothing,
        ..PRESENT
    },
    Variant {
        name: "refuse-late",
        about: "all that waits and is expected to be late is refused",
        refusal: Refusal::Late,
        ..PRESENT
    },
    Variant {
        name: "no-spill",
        about: "no share of the objects leaves its region",
        spill: false,
        ..PRESENT
    },
    Variant {
        name: "no-gossip",
        about: "hosts do not tell one another the loads of servers",
        gossip: false,
        ..PRESENT
    },
    Variant {
        name: "knowing",
        about: "full knowledge of queues and caches at the moment of the choice",
        knowing: true,
        ..PRESENT
    },
];
