// Expected starts and service times decide; the gate supplies both.
#include "galenarudder/admission/timely_admission.hpp"

namespace galenarudder::admission {

timeliness timeliness_of(const attempt& call,
                         const expected_run& expected,
                         support::time_point now)
{
    if (!expected.service_time ||
        call.in_time_until == support::time_point::max())
        return timeliness::in_time;
    const support::time_point end =
        now + expected.wait + *expected.service_time;
    if (end > call.deadline)
        return timeliness::too_late;
    return end > call.in_time_until ? timeliness::late : timeliness::in_time;
}

bool timely_review::removes(const attempt& call)
{
    const bool removed =
        timeliness_of(call, expect_(call, kept_), now_) != timeliness::in_time;
    kept_ += removed ? 0 : 1;
    return removed;
}

bool timely_review::may_fill(const attempt& call) const
{
    return timeliness_of(call, expect_(call, 0), now_) != timeliness::too_late;
}

} // namespace galenarudder::admission
