//! The operators' command line.

use azurenotch_cli::{command, option};
use bpaf::{Args, ParseFailure};
use mimalloc::MiMalloc;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code for arguments that cannot be parsed.
const USAGE: u8 = 2;
/// Exit code if the async runtime cannot be started.
const START_FAILED: u8 = 1;
/// Width of help and usage messages in columns.
const COLUMNS: usize = 100;

fn main() -> ExitCode {
    let options = match option::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(COLUMNS);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(USAGE),
                ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
            };
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("azurenotch: the async runtime cannot be started: {error}");
            return ExitCode::from(START_FAILED);
        }
    };
    runtime.block_on(command::run(&options)).print(options.json)
}
