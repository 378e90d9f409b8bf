use http::{HeaderName, HeaderValue};

/// Maximum number of digits of a chunk size.
const MAX_SIZE_DIGITS: usize = 16;

/// Returns the first line of the buffer without its CRLF, or `None` if it is not complete yet.
pub(super) fn first_line(buffer: &[u8]) -> Option<&[u8]> {
    let end = buffer.windows(2).position(|pair| pair == b"\r\n")?;
    Some(&buffer[..end])
}

/// Parses the line before a chunk: its size in bytes, and extensions, which are ignored (RFC 9112, section 7.1).
///
/// # Errors
///
/// Fails with the reason if the line has no size, a size that is too large, or bytes that no extension has.
pub(super) fn parse_size(line: &[u8]) -> Result<usize, &'static str> {
    const INVALID: &str = "invalid chunk size";
    let is_digit = |byte: &u8| byte.is_ascii_hexdigit();
    let count = line.iter().take_while(|byte| is_digit(byte)).count();
    let (digits, extensions) = line.split_at(count);
    if count > MAX_SIZE_DIGITS || !is_extension(extensions) {
        return Err(INVALID);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| INVALID)?;
    usize::from_str_radix(digits, 16).map_err(|_| INVALID)
}

/// Returns whether these bytes may follow a chunk size: nothing, blanks, or extensions, which begin with a semicolon.
fn is_extension(bytes: &[u8]) -> bool {
    let text = bytes.trim_ascii_start();
    let is_text = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    (text.is_empty() || text[0] == b';') && bytes.iter().all(is_text)
}

/// Checks that a line of a trailer section is a field.
///
/// # Errors
///
/// Fails with the reason if the line has no colon, or a name or value that is not valid.
pub(super) fn check_trailer(line: &[u8]) -> Result<(), &'static str> {
    let colon = line.iter().position(|byte| *byte == b':');
    let is_field = colon.is_some_and(|colon| {
        HeaderName::from_bytes(&line[..colon]).is_ok()
            && HeaderValue::from_bytes(&line[colon + 1..]).is_ok()
    });
    is_field.then_some(()).ok_or("invalid trailer field")
}
