//! What the answers of leaves mean for their calls.

use assert_matches::assert_matches;
use cranberrychute::core::gather::{AnswerSigns, AnsweredCall, Verdict};

const REPEATABLE: AnsweredCall = AnsweredCall {
    repeatable: true,
    is_first: false,
};
const ORDER: AnsweredCall = AnsweredCall {
    repeatable: false,
    is_first: false,
};
/// The signs of a leaf's success.
const SUCCESS: AnswerSigns = AnswerSigns {
    not_run: false,
    misdirected: false,
    failed: false,
    signed: true,
    named: true,
};

/// Guards against an answer that its leaf has not signed, which is passed on or counted as a part.
#[test]
fn only_signed_answers_reach_callers() {
    let failure = AnswerSigns {
        failed: true,
        ..SUCCESS
    };
    for call in [REPEATABLE, ORDER] {
        assert_eq!(SUCCESS.verdict(call), Verdict::Answer);
        assert_eq!(failure.verdict(call), Verdict::Failed);
        for signs in [SUCCESS, failure] {
            let unsigned = AnswerSigns {
                signed: false,
                ..signs
            };
            assert_matches!(unsigned.verdict(call), Verdict::Unusable(_));
        }
    }
}

/// Leaves do not sign that they have not run a request.
#[test]
fn a_rejection_needs_an_id_only_for_an_order_on_a_used_connection() {
    let first = AnsweredCall {
        is_first: true,
        ..ORDER
    };
    for (misdirected, expected) in [(false, Verdict::Shed), (true, Verdict::Misdirected)] {
        let named = AnswerSigns {
            not_run: true,
            misdirected,
            failed: !misdirected,
            signed: false,
            named: true,
        };
        let nameless = AnswerSigns {
            named: false,
            ..named
        };
        for call in [REPEATABLE, ORDER, first] {
            assert_eq!(named.verdict(call), expected);
        }
        assert_eq!(nameless.verdict(REPEATABLE), expected);
        assert_eq!(nameless.verdict(first), expected);
        assert_matches!(nameless.verdict(ORDER), Verdict::Unusable(_));
    }
}
