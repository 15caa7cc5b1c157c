//! Daemon that accepts requests from callers and forwards them to targets.

use std::process;

use hornbeamdock::process::{entry, log, settings, signal};

#[tokio::main]
async fn main() -> process::ExitCode {
    let matches = settings::entry_command().get_matches();
    let settings = match settings::entry(&matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return process::ExitCode::from(2);
        }
    };
    if settings.check_only {
        println!("the settings are valid");
        return process::ExitCode::SUCCESS;
    }
    match run(settings).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(settings: settings::Entry) -> Result<(), Box<dyn std::error::Error>> {
    log::init(settings.levels)?;
    let stop = signal::stop_requested()?;
    let entry = entry::Entry::start(settings.options).await?;
    let (address, internal) = (entry.address()?.to_string(), entry.internal_address()?.to_string());
    spdlog::info!("listening", kv: { address = address.as_str(), internal = internal.as_str() });
    entry.run(stop).await?;
    Ok(())
}
