//! Tests of parsing and displaying the values in commands.

use laburnumdeal_language::{ByteRate, DurationMs, Share, UtcTime};

#[test]
fn utc_time_known_dates_convert() {
    let known = [
        ("1970-01-01T00:00:00Z", 0),
        ("2000-02-29T12:34:56.789Z", 951_827_696_789),
        ("2024-12-31T23:59:59Z", 1_735_689_599_000),
        ("2100-03-01T00:00:00Z", 4_107_542_400_000),
        ("9999-12-31T23:59:59.999Z", 253_402_300_799_999),
    ];
    for (text, at_ms) in known {
        assert_eq!(text.parse(), Ok(UtcTime(at_ms)), "{text}");
        assert_eq!(UtcTime(at_ms).to_string(), text);
    }
}

#[test]
fn utc_time_every_day_of_cycle_round_trips() {
    let cycle_days = 146_097;
    let later_days = (cycle_days..2_932_897u64).step_by(97);
    for day in (0..cycle_days).chain(later_days) {
        let time = UtcTime(day * 86_400_000 + day % 86_400_000);
        assert_eq!(time.to_string().parse(), Ok(time), "day {day}");
    }
}

#[test]
fn utc_time_invalid_dates_are_refused() {
    let invalid = [
        "2100-02-29T00:00Z",
        "2026-04-31T00:00Z",
        "2026-13-01T00:00Z",
        "2026-00-01T00:00Z",
        "2026-01-00T00:00Z",
        "1969-12-31T23:59Z",
        "2026-01-01T24:00Z",
        "2026-01-01T00:60Z",
        "2026-01-01T00:00:60Z",
        "2026-01-01T00:00:00.1Z",
        "2026-01-01T00:00+02:00",
        "2026-01-01 00:00Z",
        "2026-1-1T00:00Z",
        "2026-01-01T00Z",
        "2026-01-01T00:00:00:00Z",
        "",
    ];
    for text in invalid {
        assert!(text.parse::<UtcTime>().is_err(), "{text}");
    }
}

#[test]
fn duration_mixed_units_add_up() {
    assert_eq!("1d2h3m4s5ms".parse(), Ok(DurationMs(93_784_005)));
    assert_eq!(DurationMs(93_784_005).to_string(), "1d2h3m4s5ms");
    assert_eq!(
        DurationMs(u64::MAX).to_string().parse(),
        Ok(DurationMs(u64::MAX))
    );
}

#[test]
fn duration_invalid_texts_are_refused() {
    for text in [
        "",
        "10",
        "m",
        "10 m",
        "1y",
        "-1s",
        "1.5h",
        "99999999999999999999ms",
    ] {
        assert!(text.parse::<DurationMs>().is_err(), "{text}");
    }
}

#[test]
fn share_every_permille_round_trips() {
    for permille in 1..=1000 {
        let share = Share(permille);
        assert_eq!(share.to_string().parse(), Ok(share));
    }
    for text in [
        "0%",
        "100.1%",
        "1.25%",
        "%",
        "10",
        "-1%",
        "1001/1000",
        "99999%",
    ] {
        assert!(text.parse::<Share>().is_err(), "{text}");
    }
}

#[test]
fn byte_rate_too_large_is_refused() {
    assert_eq!(
        ByteRate::from_units(u64::MAX, "B"),
        Some(ByteRate(u64::MAX))
    );
    assert_eq!(ByteRate::from_units(u64::MAX, "KB"), None);
    assert_eq!(ByteRate::from_units(1, "apples"), None);
    assert_eq!(ByteRate(0).to_string(), "0 B per s");
}
