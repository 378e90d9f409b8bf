//! Stand-ins and clients of the cases in `review/11` to `review/15`.
//!
//! Called as `review-standins-3 CASE` in the root of the repository. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod deployment;
mod limited;
mod memory;
mod proxy;
mod record;
mod site;
mod stale;

use std::process::ExitCode;

/// The result of a run.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let verdict = runtime.block_on(async {
        match case.as_str() {
            "11" => memory::run(&case, trouble).await,
            "12" => stale::run_narrow(&case, trouble).await,
            "13" => stale::run_silent(&case, trouble).await,
            "14" => limited::run(&case, trouble).await,
            _ => Err(anyhow::anyhow!("unknown case {case:?}")),
        }
    });
    runtime.shutdown_background();
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error:#}");
            ExitCode::from(2)
        }
    }
}
