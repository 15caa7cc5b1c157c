//! Command-line tool for operators.

use std::process;

use hornbeamdock::process::command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    match command::run(&command::command().get_matches()).await {
        Ok(output) => {
            println!("{output}");
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
