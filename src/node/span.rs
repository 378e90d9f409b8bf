use std::{
    fmt,
    time::{Duration, Instant, SystemTime},
};

use super::telemetry;

/// Length of a `traceparent` of version 0, in bytes.
const TRACEPARENT_LENGTH: usize = 55;

/// The identity of a span and its trace, as in a W3C `traceparent`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SpanContext {
    trace: u128,
    span: u64,
    sampled: bool,
}

impl SpanContext {
    /// Starts a new trace.
    pub(super) fn random(sampled: bool) -> Self {
        Self {
            trace: rand::random(),
            span: 0,
            sampled,
        }
    }

    /// Parses a `traceparent`. Returns `None` unless it is a valid one of version 0.
    pub(super) fn decode(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('-').collect();
        let [version, trace, span, flags] = parts[..] else {
            return None;
        };
        let well_formed = text.len() == TRACEPARENT_LENGTH && version == "00";
        let context = Self {
            trace: u128::from_str_radix(trace, 16).ok()?,
            span: u64::from_str_radix(span, 16).ok()?,
            sampled: u8::from_str_radix(flags, 16).ok()? & 1 == 1,
        };
        (well_formed && trace.len() == 32 && span.len() == 16).then_some(context)
    }
}

impl fmt::Display for SpanContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

/// A step in the processing of a request. A sampled span is reported when it is dropped, others report nothing.
///
/// No tracing library is used, because the ones that were tried calibrate their own clock at each start, which takes
/// seconds when the process has only a fraction of a core.
#[derive(Debug, Default)]
pub(super) struct Span(Option<Box<Record>>);

/// The reported data of a span.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) context: SpanContext,
    pub(super) parent: u64,
    pub(super) name: &'static str,
    pub(super) start: SystemTime,
    pub(super) duration: Duration,
    pub(super) fields: Vec<(&'static str, String)>,
    started: Instant,
}

impl Record {
    pub(super) fn trace_id(&self) -> String {
        format!("{:032x}", self.context.trace)
    }

    pub(super) fn span_id(&self) -> String {
        format!("{:016x}", self.context.span)
    }
}

impl Span {
    /// Returns a span that reports nothing.
    pub(super) fn noop() -> Self {
        Self::default()
    }

    /// Starts a span below a parent that is given by its context.
    pub(super) fn root(name: &'static str, parent: SpanContext) -> Self {
        let record = || Record {
            context: SpanContext {
                span: rand::random(),
                ..parent
            },
            parent: parent.span,
            name,
            start: SystemTime::now(),
            duration: Duration::ZERO,
            fields: Vec::new(),
            started: Instant::now(),
        };
        Self(parent.sampled.then(|| Box::new(record())))
    }

    /// Starts a span below another span of this process.
    pub(super) fn child(name: &'static str, parent: &Span) -> Self {
        parent
            .context()
            .map_or_else(Self::noop, |context| Self::root(name, context))
    }

    /// Returns the context of the span, or `None` if the span is not reported.
    pub(super) fn context(&self) -> Option<SpanContext> {
        self.0.as_ref().map(|record| record.context)
    }

    /// Adds fields to the span. `fields` is called only if the span is reported.
    pub(super) fn with<const N: usize>(
        mut self,
        fields: impl FnOnce() -> [(&'static str, String); N],
    ) -> Self {
        if let Some(record) = &mut self.0 {
            record.fields.extend(fields());
        }
        self
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if let Some(mut record) = self.0.take() {
            record.duration = record.started.elapsed();
            telemetry::report(&record);
        }
    }
}
