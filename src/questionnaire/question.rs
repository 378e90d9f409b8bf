/// One question of the questionnaire.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Key of the answer in an answers file.
    pub key: &'static str,
    pub text: &'static str,
    /// What may be answered.
    pub allowed: &'static str,
    /// The answer taken when none is given.
    pub default: Option<&'static str>,
}

const HARM: &str = "none, some or severe, then optionally a colon and what happens";

const fn ask(key: &'static str, text: &'static str, allowed: &'static str) -> Question {
    Question {
        key,
        text,
        allowed,
        default: None,
    }
}

const fn optional(
    key: &'static str,
    text: &'static str,
    allowed: &'static str,
    default: &'static str,
) -> Question {
    Question {
        key,
        text,
        allowed,
        default: Some(default),
    }
}

/// All questions, in the order in which they are asked.
pub const QUESTIONS: &[Question] = &[
    ask(
        "service",
        "What is the service called?",
        "1 to 64 letters, digits, '.', '_' or '-'",
    ),
    ask(
        "callers",
        "Who calls, and in which situation?",
        "1 to 200 characters on one line",
    ),
    ask("late", "What harm does a late answer cause?", HARM),
    ask(
        "lost",
        "What harm does a lost answer cause, or a part that is missing?",
        HARM,
    ),
    ask("doubled", "What harm does a doubled request cause?", HARM),
    ask(
        "first",
        "If only one is possible, must the answer be in time or complete?",
        "time or completeness",
    ),
    ask(
        "partial",
        "Is an answer useful that says which part of the data it did not search?",
        "useful or harmful",
    ),
    optional(
        "never_repeat",
        "Which requests must not be repeated?",
        "names separated by commas, or nothing",
        "nothing",
    ),
    ask(
        "wait_ms",
        "How long does the caller wait, in milliseconds?",
        "20 to 10000",
    ),
    ask(
        "slowest_ms",
        "How long does the slowest call to a back end take on a normal day, in milliseconds?",
        "1 to 10000",
    ),
    optional(
        "max_hits",
        "How many hits may a caller ask for at most?",
        "1 to 1000",
        "50",
    ),
    ask("night", "Who may be woken at night?", "nobody or someone"),
    ask(
        "urgent_at_night",
        "What must be acted on at once at night?",
        "nothing or everything",
    ),
    optional(
        "day_from",
        "From which hour of the day may people be reached?",
        "0 to 23",
        "7",
    ),
    optional(
        "day_to",
        "Until which hour of the day may people be reached?",
        "0 to 23, not the hour of day_from",
        "19",
    ),
    ask(
        "utc_offset",
        "What is the offset of their local time from UTC?",
        "-12:00 to +14:00, such as +01:00",
    ),
    optional(
        "webhook",
        "Which URL receives the alarms?",
        "URL that starts with http://, or none",
        "none",
    ),
];
