// The simulated store: claimed keys and the faults that the trace injects.
#include "fake_store.hpp"

namespace galenarudder::replay {

void fake_store::apply(const store_event& event)
{
    switch (event.change) {
    case store_change::down:
        up_ = false;
        return;
    case store_change::up:
        up_ = true;
        added_delay_ms_ = 0;
        return;
    case store_change::slow:
        added_delay_ms_ = event.delay_ms;
        return;
    case store_change::lose_next_answer:
        lose_next_answer_ = true;
        return;
    }
}

claim_reply fake_store::claim(const std::string& key)
{
    if (!up_)
        return {claim_result::unavailable, 0};
    double duration_ms = normal_duration_ms + added_delay_ms_;
    // After a lost answer the entry reads the claim back, which takes as long
    // again.
    if (lose_next_answer_)
        duration_ms += duration_ms;
    lose_next_answer_ = false;
    const bool first = claimed_keys_.insert(key).second;
    return {first ? claim_result::claimed : claim_result::taken, duration_ms};
}

} // namespace galenarudder::replay
