use bytes::Bytes;

/// Size of a record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of all parts, in descending order.
///
/// Trailing bytes of a part that do not fill a record are ignored.
pub fn merge_top<'a>(parts: impl Iterator<Item = &'a Bytes>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8; RECORD_BYTES]> = parts
        .flat_map(|part| part.as_chunks::<RECORD_BYTES>().0)
        .collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().copied().collect()
}
