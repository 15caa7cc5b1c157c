//! Daemon of a control replica.

use std::process;

use hornbeamdock::process::{control, log, settings, signal};

#[tokio::main]
async fn main() -> process::ExitCode {
    let matches = settings::control_command().get_matches();
    let settings = match settings::control(&matches) {
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

async fn run(settings: settings::Control) -> Result<(), Box<dyn std::error::Error>> {
    log::init(settings.levels)?;
    let stop = signal::stop_requested()?;
    let control = control::Control::start(settings.options).await?;
    let address = control.address().to_string();
    spdlog::info!("listening", kv: { address = address.as_str() });
    control.run(stop).await?;
    Ok(())
}
