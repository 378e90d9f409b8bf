//! Plays a case of the review: `case NAME FOLDER`. Exits with 0 if the rule held, 1 if it was broken and 2 if the case could
//! not run. `TROUBLE=0` leaves out the disruption.

mod caller;
mod cases;
mod fleet;
mod http;
mod leaf;
mod report;
mod store;

use std::{env, path::Path, process::ExitCode, time::Duration};

use crate::report::{Report, Verdict};

/// Maximum time of a play.
const MAX_PLAY_TIME: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: case NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut report = Report::new(Path::new(folder), trouble);
    fleet::limit_time(MAX_PLAY_TIME);
    let outcome = match name.as_str() {
        "evacuation" => cases::evacuation::play(trouble, &mut report),
        "foreign" => cases::foreign::play(trouble, &mut report),
        "key" => cases::key::play(trouble, &mut report),
        "pages" => cases::pages::play(trouble, &mut report),
        _ => Err(format!("there is no case {name}")),
    };
    let code = match &outcome {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match outcome {
        Ok(Verdict::Held) => report.add("verdict: the rule held"),
        Ok(Verdict::Broken) => report.add("verdict: the rule was broken"),
        Err(error) => {
            eprintln!("{error}");
            report.add(format!("the case could not run: {error}"));
        }
    }
    report.write();
    ExitCode::from(code)
}
