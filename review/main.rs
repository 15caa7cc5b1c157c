//! The scripts of the review: `reviewer CASE FOLDER`.

mod beat;
mod copy;
mod harness;
mod leave;
mod order;
mod relay;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    let run = match case.as_str() {
        "1" => copy::run,
        "2" => relay::run,
        "3" => order::run,
        "4" => leave::run,
        "5" => beat::run,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    harness::run_case(&folder, run)
}
