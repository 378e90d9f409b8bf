//! Tests of the questionnaire: generated policies are reproducible and valid, and contradictory answers are rejected.

use std::{fs, io::Cursor, process::ExitCode};

use argh::FromArgs;
use cranberrychute::{
    cli::{Questionnaire, ask_questions},
    core::config::ServicePolicy,
    questionnaire::{Answers, Problem, QUESTIONS, RawAnswers, generate_policy},
};
use proptest::prelude::*;

const PLAMENIK: &str = include_str!("../examples/questionnaire/plamenik.toml");
const HALLOWAY: &str = include_str!("../examples/questionnaire/halloway.toml");

fn raw(text: &str) -> RawAnswers {
    Answers::parse_file(text).expect("valid TOML")
}

fn policy(text: &str) -> ServicePolicy {
    let answers = Answers::check(&raw(text)).expect("valid answers");
    ServicePolicy::parse(&answers.service, &generate_policy(&answers)).expect("valid policy")
}

fn check_changed(text: &str, changes: &[(&str, &str)]) -> Result<Answers, Vec<Problem>> {
    let mut raw = raw(text);
    for (key, value) in changes {
        raw.insert((*key).to_owned(), (*value).to_owned());
    }
    Answers::check(&raw)
}

fn run(arguments: &[&str]) -> ExitCode {
    Questionnaire::from_args(&["questionnaire"], arguments)
        .expect("valid arguments")
        .run()
}

/// Guards against a policy that contradicts the priorities stated in the two examples.
#[test]
fn examples_favor_latency_or_coverage() {
    let (low_latency, complete) = (policy(PLAMENIK), policy(HALLOWAY));
    let partial_after = low_latency
        .partial_after_ms
        .expect("an early partial answer");
    assert!(
        partial_after < low_latency.deadline_ms && low_latency.min_coverage < 1.0,
        "{low_latency:?}"
    );
    assert_eq!(
        low_latency.hedge.percent, 2.0,
        "exactly the full extra-call budget"
    );
    let alarm = low_latency.alarm.expect("an alarm section");
    let quiet = alarm
        .quiet
        .expect("quiet hours, because nobody is available at night");
    assert_eq!(
        (quiet.from_hour, quiet.to_hour, quiet.utc_offset),
        (18, 6, 60)
    );
    assert_eq!(
        (complete.partial_after_ms, complete.min_coverage),
        (None, 1.0)
    );
    assert!(
        complete.deadline_ms > low_latency.deadline_ms
            && complete.hedge.quantile > low_latency.hedge.quantile
    );
    assert_eq!(complete.alarm.expect("an alarm section").coverage, 1.0);
}

/// Guards against output that varies between runs, values without a comment that names a question, and wrong exit
/// codes.
#[test]
fn generated_files_are_reproducible() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = |name: &str| dir.path().join(name).to_str().expect("UTF-8").to_owned();
    let (first, second, bad) = (path("first"), path("second"), path("bad"));
    for example in ["plamenik", "halloway"] {
        let answers = format!("examples/questionnaire/{example}.toml");
        for out in [&first, &second] {
            assert_eq!(
                run(&["--answers", &answers, "--out", out]),
                ExitCode::SUCCESS
            );
        }
        let text = fs::read_to_string(&first).expect("readable policy");
        assert_eq!(text, fs::read_to_string(&second).expect("readable policy"));
        let lines: Vec<_> = text.lines().collect();
        for pair in lines
            .windows(2)
            .filter(|pair| pair[1].contains(" = ") && !pair[1].starts_with('#'))
        {
            let (comment, key) = (pair[0], pair[1]);
            let named = QUESTIONS
                .iter()
                .any(|question| comment.contains(question.key));
            assert!(
                comment.starts_with("# ") && named,
                "{key} follows {comment}"
            );
        }
    }
    fs::write(&bad, PLAMENIK.replace("nothing", "everything")).expect("file written");
    assert_eq!(run(&["--answers", &bad]), ExitCode::from(1));
    assert_eq!(run(&["--answers", &path("absent")]), ExitCode::from(2));
}

/// Guards against a policy generated from contradictory or invalid answers.
#[test]
fn invalid_or_contradictory_answers_are_reported() {
    type Case = (
        &'static str,
        &'static [(&'static str, &'static str)],
        &'static [&'static str],
    );
    let cases: &[Case] = &[
        (
            HALLOWAY,
            &[("wait_ms", "1000")],
            &["partial", "late", "wait_ms", "slowest_ms"],
        ),
        (
            PLAMENIK,
            &[("urgent_at_night", "everything")],
            &["night", "urgent_at_night"],
        ),
        (PLAMENIK, &[("day_to", "6")], &["day_from", "day_to"]),
        (
            PLAMENIK,
            &[("partial", "harmful"), ("wait_ms", "900")],
            &["first", "partial"],
        ),
        (HALLOWAY, &[("lost", "none")], &["first", "lost"]),
        (
            HALLOWAY,
            &[("never_repeat", "nothing")],
            &["doubled", "never_repeat"],
        ),
        (
            HALLOWAY,
            &[("doubled", "none")],
            &["doubled", "never_repeat"],
        ),
        (HALLOWAY, &[("wait_ms", "10001")], &["wait_ms"]),
        (HALLOWAY, &[("utc_offset", "+14:01")], &["utc_offset"]),
        (HALLOWAY, &[("callers", "a\nb")], &["callers"]),
        (HALLOWAY, &[("webhook", "https://a/")], &["webhook"]),
        (HALLOWAY, &[("colour", "red")], &["colour"]),
    ];
    for (text, changes, keys) in cases {
        let problems = check_changed(text, changes).expect_err("a problem");
        let found: Vec<_> = problems.iter().map(|problem| &problem.keys[..]).collect();
        assert_eq!(found, [*keys], "{changes:?}");
    }
}

/// Guards against a terminal session that fails at a contradiction or accepts it.
#[test]
fn terminal_repeats_contradictory_questions() {
    let mut given = raw(PLAMENIK);
    given.insert("urgent_at_night".to_owned(), "everything".to_owned());
    let lines = QUESTIONS
        .iter()
        .map(|question| given.get(question.key).map_or("", String::as_str));
    let mut input: String = lines.map(|line| format!("{line}\n")).collect();
    assert!(
        ask_questions(&mut Cursor::new(&input), &mut Vec::new()).is_err(),
        "accepted input that ends early"
    );
    input.push_str("\nnothing\n");
    let mut output = Vec::new();
    let answers =
        ask_questions(&mut Cursor::new(&input), &mut output).expect("all questions answered");
    assert_eq!(Ok(answers), Answers::check(&raw(PLAMENIK)));
    let output = String::from_utf8(output).expect("UTF-8");
    assert_eq!(output.matches("nobody may be woken").count(), 1, "{output}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against accepted answers that generate a policy which the nodes reject.
    #[test]
    fn accepted_answers_generate_valid_policies(
        harms in prop::array::uniform3(0..3_usize), flags in prop::array::uniform4(any::<bool>()),
        wait in 20..=10_000_u32, slowest in 1..=10_000_u32, hits in 1..=1_000_u32,
        hours in prop::array::uniform2(0..24_u8), offset in -12..=13_i8, callers in "[^\\p{Cc}\\s]{1,40}",
    ) {
        let harm = |n: usize| ["none", "some", "severe: \"quoted\" # text"][harms[n]];
        let pick = |n: usize, yes, no| if flags[n] { yes } else { no };
        let values = [
            ("service", "s.1"), ("callers", &callers), ("late", harm(0)), ("lost", harm(1)),
            ("doubled", harm(2)), ("first", pick(0, "time", "completeness")),
            ("partial", pick(1, "useful", "harmful")),
            ("never_repeat", if harms[2] > 0 { "order" } else { "nothing" }),
            ("wait_ms", &wait.to_string()), ("slowest_ms", &slowest.to_string()),
            ("max_hits", &hits.to_string()), ("night", pick(2, "nobody", "someone")),
            ("urgent_at_night", "nothing"), ("day_from", &hours[0].to_string()),
            ("day_to", &hours[1].to_string()), ("utc_offset", &format!("{offset:+03}:30")),
            ("webhook", pick(3, "http://10.0.0.9/a?b=\"c\"", "none")),
        ].map(|(key, value)| (key.to_owned(), value.to_owned()));
        if let Ok(answers) = Answers::check(&RawAnswers::from(values)) {
            let text = generate_policy(&answers);
            let policy = ServicePolicy::parse(&answers.service, &text);
            prop_assert!(policy.is_ok(), "{policy:?}\n{text}");
            prop_assert!(policy.is_ok_and(|policy| policy.hedge.percent <= 2.0));
        }
    }
}
