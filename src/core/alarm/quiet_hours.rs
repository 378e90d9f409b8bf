use std::time::Duration;

use crate::core::config::QuietHours;

/// Returns whether `wall`, the time since 1970 in UTC, lies within the quiet hours.
pub fn in_quiet_hours(quiet: &QuietHours, wall: Duration) -> bool {
    let local = wall.as_secs() as i64 + i64::from(quiet.utc_offset) * 60;
    let hour = local.rem_euclid(86_400) / 3_600;
    let (from, to) = (i64::from(quiet.from_hour), i64::from(quiet.to_hour));
    match from <= to {
        true => (from..to).contains(&hour),
        false => hour >= from || hour < to,
    }
}
