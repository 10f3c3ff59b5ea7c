//! The `linkhold` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    linkhold::cli::run()
}
