// The ring buffer is guarded by a mutex, since decisions are rare compared to
// calls. The counters are atomic.
#include "galenarudder/telemetry/decision_log.hpp"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>

namespace galenarudder::telemetry {

namespace {

constexpr std::array<std::string_view, 3> effect_names = {"acted", "limited",
                                                          "observed"};

} // namespace

std::string_view to_string(decision_effect effect)
{
    return effect_names.at(static_cast<std::size_t>(effect));
}

decision_effect effect_of(config::automation_mode mode, bool within_limits)
{
    if (mode == config::automation_mode::observe)
        return decision_effect::observed;
    return within_limits ? decision_effect::acted : decision_effect::limited;
}

struct decision_log::state
{
    using effect_counts =
        std::array<std::atomic<std::uint64_t>, effect_names.size()>;

    mutable std::mutex mutex;
    std::deque<decision> ring;
    std::array<effect_counts, config::automation_count> counts{};
};

decision_log::decision_log() : state_(std::make_unique<state>()) {}

decision_log::~decision_log() = default;

void decision_log::record(decision new_decision)
{
    ++state_->counts.at(static_cast<std::size_t>(new_decision.kind))
          .at(static_cast<std::size_t>(new_decision.effect));
    std::lock_guard lock(state_->mutex);
    state_->ring.push_back(std::move(new_decision));
    if (state_->ring.size() > ring_size)
        state_->ring.pop_front();
}

std::vector<decision> decision_log::latest() const
{
    std::lock_guard lock(state_->mutex);
    return {state_->ring.begin(), state_->ring.end()};
}

std::uint64_t decision_log::count(config::automation kind,
                                  decision_effect effect) const
{
    return state_->counts.at(static_cast<std::size_t>(kind))
        .at(static_cast<std::size_t>(effect));
}

} // namespace galenarudder::telemetry
