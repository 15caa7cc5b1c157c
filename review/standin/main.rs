//! The scripts of the review: `reviewer CASE FOLDER`.

mod case1;
mod case2;
mod case3;
mod case4;
mod case5;
mod harness;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    let run = match case.as_str() {
        "1" => case1::run,
        "2" => case2::run,
        "3" => case3::run,
        "4" => case4::run,
        "5" => case5::run,
        _ => {
            eprintln!("no such case");
            std::process::exit(2);
        }
    };
    harness::run_case(&folder, run)
}
