use super::{Event, KEYS_REFUSED};
use sloetrail_result::ResultCode;

fn refusal(code: ResultCode) -> Event<'static> {
    Event::RequestFailed {
        request: "r1",
        route: "live",
        status: 503,
        code: code.number(),
        attempts: 0,
        took_ms: 0,
        left_ms: 0,
        revision: 1,
        regions: "-",
        detail: "refused",
    }
}

#[test]
fn refused_keys_are_rate_limited_even_without_the_table() {
    for code in [ResultCode::UnknownApiKey, ResultCode::ConfigurationStale] {
        let event = refusal(code);
        let limiter = event.limiter().expect("a limiter");
        assert!(std::ptr::eq(limiter, &KEYS_REFUSED), "{code:?}");
    }
    assert!(refusal(ResultCode::NoEngine).limiter().is_none());
}
