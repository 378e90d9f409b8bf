use bytes::Bytes;

/// Length of a record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `top` records of all parts, greatest first. A shorter rest of a part is no record.
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
