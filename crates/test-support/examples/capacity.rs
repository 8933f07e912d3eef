//! Measures how the cost of control work grows and calculates the load at the target size.

mod capacity {
    pub mod budget;
    pub mod configuration;
    pub mod fleet;
    pub mod gossip;
    pub mod holders;
    pub mod limits;
    pub mod measure;
    pub mod peer;
    pub mod plot;
    pub mod report;
    pub mod request;
    pub mod roles;
    pub mod steering;
    pub mod synthetic;
    pub mod table;
}

use bpaf::Bpaf;
use capacity::report::Report;
use snafu::{ResultExt, Whatever};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::{alloc::System, fs, path::PathBuf};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures the cost of control work and writes a Markdown fragment with plots.
#[derive(Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Seed of everything that is random
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Folder for the fragment and the plots
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

#[snafu::report]
fn main() -> Result<(), Whatever> {
    let arguments = arguments().run();
    let seed = arguments.seed;
    let folder = arguments.folder;
    fs::create_dir_all(&folder).whatever_context("cannot create the folder")?;
    let mut report = Report::new(seed);
    report.part("Measured slopes");
    capacity::peer::run(&mut report)?;
    capacity::fleet::run(&mut report);
    capacity::gossip::run(&mut report);
    capacity::configuration::run(&mut report)?;
    capacity::budget::run(&mut report)?;
    capacity::request::run(&mut report);
    capacity::steering::run(&mut report)?;
    capacity::table::run(&mut report);
    capacity::roles::run(&mut report);
    report.write(&folder)
}
