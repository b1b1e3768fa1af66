//! Cases of the independent review that are shown with real processes: `review-case N`.

mod cluster;
mod copies;
mod hangup;
mod http;
mod large;
mod lookups;
mod partition;
mod replica;
mod restart;
mod speaker;
mod util;
mod versions;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let result = match case.as_str() {
        "1" => copies::run(),
        "2" => versions::run(),
        "3" => restart::run(),
        "4" => large::run(),
        "5" => hangup::run(),
        _ => Err(format!("there is no script for case {case}")),
    };
    let code = match result {
        Ok(true) => {
            println!("the rule held");
            0
        }
        Ok(false) => {
            println!("the rule was broken");
            1
        }
        Err(reason) => {
            println!("the case could not run: {reason}");
            2
        }
    };
    std::process::exit(code);
}
