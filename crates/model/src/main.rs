//! Compares variants of the host decisions under patterns of load.

use azurenotch_model::{
    engine::Engine,
    pattern::{PATTERNS, Pattern},
    plot,
    report::{HEADER, Report},
    site::{SITES, Site},
    variant::{VARIANTS, Variant},
};
use bpaf::{Args, Bpaf, ParseFailure};
use std::{path::PathBuf, process::ExitCode};

/// Exit code for invalid arguments and for plots that cannot be written.
const USAGE: u8 = 2;
/// Width of help and usage messages in columns.
const COLUMNS: usize = 100;
/// Number of seeds if `--seeds` is not given.
const DEFAULT_SEEDS: u64 = 4;

/// Replays patterns of load on a model of the deployments and prints the outcomes for callers.
///
/// Times are virtual; equal seeds give equal tables. `served` is the credit per request, 1 within
/// the latency objective and 0.2 later; `worst` is the credit per request in the worst two seconds.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Only this deployment; repeat it for several
    #[bpaf(argument("NAME"), many)]
    site: Vec<String>,
    /// Only this pattern; repeat it for several
    #[bpaf(argument("NAME"), many)]
    pattern: Vec<String>,
    /// Only this variant; repeat it for several
    #[bpaf(argument("NAME"), many)]
    variant: Vec<String>,
    /// Number of seeds
    #[bpaf(argument("N"), fallback(DEFAULT_SEEDS), display_fallback)]
    seeds: u64,
    /// Write a plot of each site and pattern to this folder (SVG)
    #[bpaf(argument("FOLDER"), optional)]
    plots: Option<PathBuf>,
    /// List deployments, patterns and variants
    list: bool,
}

fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(COLUMNS);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("azurenotch-experiment: {reason}");
            ExitCode::from(USAGE)
        }
    }
}

fn run(options: &Options) -> Result<(), Box<dyn std::error::Error>> {
    if options.list {
        list();
        return Ok(());
    }
    let sites = pick(&SITES, &options.site, |site| site.name)?;
    let patterns = pick(&PATTERNS, &options.pattern, |pattern| pattern.name)?;
    let variants = pick(&VARIANTS, &options.variant, |variant| variant.name)?;
    for site in &sites {
        for pattern in &patterns {
            let reports = compare(site, pattern, &variants, options.seeds);
            println!("{} {}: {}", site.name, pattern.name, pattern.description);
            println!("{:<12} {HEADER}", "variant");
            for (name, report) in &reports {
                println!("{name:<12} {report}");
            }
            println!();
            if let Some(folder) = &options.plots {
                let path = folder.join(format!("{}-{}.svg", site.name, pattern.name));
                let title = format!("{} {}: {}", site.name, pattern.name, pattern.description);
                plot::draw(&path, &title, &reports)?;
            }
        }
    }
    Ok(())
}

fn compare<'a>(
    site: &Site,
    pattern: &Pattern,
    variants: &[&'a Variant],
    seeds: u64,
) -> Vec<(&'a str, Report)> {
    let run_seeds = |variant: &'a Variant| {
        let mut sum = Report::new(pattern.counted_from_s);
        for seed in 0..seeds {
            sum.add(&Engine::new(site, pattern, variant, seed).run());
        }
        (variant.name, sum)
    };
    variants.iter().map(|variant| run_seeds(variant)).collect()
}

/// Returns the items with the given names, or all items if no name is given.
fn pick<'a, T>(
    all: &'a [T],
    names: &[String],
    name: impl Fn(&T) -> &'static str,
) -> Result<Vec<&'a T>, String> {
    if names.is_empty() {
        return Ok(all.iter().collect());
    }
    let find = |wanted: &String| {
        let found = all.iter().find(|it| name(it) == wanted);
        found.ok_or_else(|| format!("unknown name {wanted:?}; see --list"))
    };
    names.iter().map(find).collect()
}

fn list() {
    println!("deployments");
    for site in &SITES {
        let servers: u32 = site.centres.iter().map(|centre| centre.servers).sum();
        println!(
            "  {:<12} {} servers, {} requests/s",
            site.name, servers, site.rate
        );
    }
    println!("patterns");
    for pattern in &PATTERNS {
        println!("  {:<12} {}", pattern.name, pattern.description);
    }
    println!("variants");
    for variant in &VARIANTS {
        println!("  {:<12} {}", variant.name, variant.description);
    }
}
