/// A question of the questionnaire.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Key of the answer in an answers file.
    pub key: &'static str,
    pub text: &'static str,
    /// Description of the allowed answers.
    pub allowed: &'static str,
    /// Answer used if none is given.
    pub default: Option<&'static str>,
}

const HARM_ANSWERS: &str = "none, some or severe, then optionally a colon and what happens";

const fn required(key: &'static str, text: &'static str, allowed: &'static str) -> Question {
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

/// All questions in the order in which they are asked.
pub const QUESTIONS: &[Question] = &[
    required(
        "service",
        "What is the service called?",
        "1 to 64 letters, digits, '.', '_' or '-'",
    ),
    required(
        "callers",
        "Who calls, and in which situation?",
        "1 to 200 characters on one line",
    ),
    required("late", "What harm does a late answer cause?", HARM_ANSWERS),
    required(
        "lost",
        "What harm does a lost answer cause, or a part that is missing?",
        HARM_ANSWERS,
    ),
    required(
        "doubled",
        "What harm does a doubled request cause?",
        HARM_ANSWERS,
    ),
    required(
        "first",
        "If only one is possible, must the answer be in time or complete?",
        "time or completeness",
    ),
    required(
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
    required(
        "wait_ms",
        "How long does the caller wait, in milliseconds?",
        "20 to 10000",
    ),
    required(
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
    required("night", "Who may be woken at night?", "nobody or someone"),
    required(
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
    required(
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
