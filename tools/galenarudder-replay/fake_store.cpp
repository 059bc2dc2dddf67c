// A set of claimed keys with the faults of the trace.
#include "fake_store.hpp"

namespace galenarudder::replay {

void fake_store::apply(const store_event& event)
{
    switch (event.what) {
    case store_change::down:
        up_ = false;
        return;
    case store_change::up:
        up_ = true;
        delay_ms_ = 0;
        return;
    case store_change::slow:
        delay_ms_ = event.delay_ms;
        return;
    case store_change::lose_next_answer:
        lose_next_ = true;
        return;
    }
}

claim_answer fake_store::claim(const std::string& key)
{
    if (!up_)
        return {claim_result::unavailable, 0};
    double took_ms = usual_ms + delay_ms_;
    // A lost answer is resolved by reading the claim back.
    if (lose_next_)
        took_ms += took_ms;
    lose_next_ = false;
    const bool first = claimed_.insert(key).second;
    return {first ? claim_result::claimed : claim_result::taken, took_ms};
}

} // namespace galenarudder::replay
