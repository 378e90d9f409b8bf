use bytes::Bytes;
use smallvec::SmallVec;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    head: Bytes,
    /// Name and value of each header, as byte ranges of the head.
    headers: SmallVec<[(Span, Span); 12]>,
    pub body: Bytes,
}

type Span = (u32, u32);

impl Reply {
    /// Creates a response without a body. The names and values of `fields` are parts of `head`.
    pub(super) fn new<'h>(
        status: u16,
        head: &'h [u8],
        fields: impl Iterator<Item = (&'h [u8], &'h [u8])>,
    ) -> Self {
        let span = |part: &[u8]| {
            let from = part.as_ptr() as usize - head.as_ptr() as usize;
            (from as u32, (from + part.len()) as u32)
        };
        Self {
            status,
            head: Bytes::copy_from_slice(head),
            headers: fields
                .map(|(name, value)| (span(name), span(value)))
                .collect(),
            body: Bytes::new(),
        }
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.header_values(name).next()
    }

    /// Returns all values of a header in order.
    pub fn header_values<'r>(&'r self, name: &str) -> impl Iterator<Item = &'r [u8]> {
        self.headers()
            .filter(move |(key, _)| key.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns all headers in order.
    pub fn headers(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.headers
            .iter()
            .map(|(name, value)| (self.span(*name), self.span(*value)))
    }

    /// Returns the first value of a header if it is valid UTF-8.
    pub fn header_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.header(name)?).ok()
    }

    /// Returns whether `Connection` lists this option.
    pub(super) fn has_connection_option(&self, option: &str) -> bool {
        self.header_values("connection")
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|item| item.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
    }

    fn span(&self, (from, to): Span) -> &[u8] {
        &self.head[from as usize..to as usize]
    }
}
