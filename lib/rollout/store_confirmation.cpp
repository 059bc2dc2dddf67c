// An observer's patience grows with its rank.
#include "galenarudder/rollout/store_confirmation.hpp"

#include "galenarudder/support/json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace galenarudder::rollout {

using nlohmann::json;
using support::milliseconds;
using support::time_point;

namespace {

/// Time without a confirmation after which the second observer asks the store.
/// Longer than the interval, as answers and messages may be late.
constexpr milliseconds second_patience{1200};
/// The same for the last observer. With the time that a version takes from
/// there to all members, it must stay below the time that deployments allow
/// until a version is in force.
constexpr milliseconds last_patience{1600};

milliseconds patience_at(std::size_t rank, std::size_t observers)
{
    if (rank == 0)
        return store_confirmation::interval;
    const std::size_t steps = std::max<std::size_t>(1, observers - 1);
    return second_patience + (last_patience - second_patience) *
                                 static_cast<int>(rank - 1) /
                                 static_cast<int>(steps);
}

} // namespace

std::vector<support::member_id>
select_observers(std::span<const observer_candidate> candidates,
                 std::size_t per_domain)
{
    std::map<std::string_view, std::vector<const observer_candidate*>> domains;
    for (const observer_candidate& candidate : candidates)
        domains[candidate.domain].push_back(&candidate);
    const auto comes_first = [](const observer_candidate* left,
                                const observer_candidate* right) {
        return std::tie(left->hash, left->member) <
               std::tie(right->hash, right->member);
    };
    std::vector<std::vector<const observer_candidate*>> rounds(per_domain);
    for (auto& [domain, members] : domains) {
        const std::size_t count = std::min(per_domain, members.size());
        std::partial_sort(members.begin(),
                          members.begin() + static_cast<std::ptrdiff_t>(count),
                          members.end(), comes_first);
        for (std::size_t position = 0; position < count; ++position)
            rounds[position].push_back(members[position]);
    }
    std::vector<support::member_id> observers;
    for (auto& round : rounds) {
        std::sort(round.begin(), round.end(), comes_first);
        for (const observer_candidate* chosen : round)
            observers.emplace_back(chosen->member);
    }
    return observers;
}

std::string encode(const confirmation& stated)
{
    const json values = {stated.version, stated.age.count()};
    std::string payload;
    json::to_cbor(values, payload);
    return payload;
}

std::optional<confirmation> decode_confirmation(std::string_view payload)
{
    const auto parsed = support::parse_cbor(payload);
    const bool valid = parsed && parsed->is_array() && parsed->size() == 2 &&
                       (*parsed)[0].is_number_unsigned() &&
                       (*parsed)[1].is_number_unsigned();
    if (!valid)
        return std::nullopt;
    const json& values = *parsed;
    // An age beyond this is as useless as a greater one, and does not overflow.
    constexpr std::uint64_t max_age_ms = 3'600'000;
    const auto age_ms = std::min(values[1].get<std::uint64_t>(), max_age_ms);
    return confirmation{values[0].get<std::uint64_t>(),
                        milliseconds(static_cast<std::int64_t>(age_ms))};
}

void store_confirmation::start(time_point now)
{
    if (started_)
        return;
    started_ = true;
    as_of_ = now;
}

void store_confirmation::on_confirmed(std::uint64_t version, time_point as_of)
{
    if (!newest_ || newest_->as_of < as_of)
        newest_ = statement{version, as_of};
}

bool store_confirmation::is_due(std::size_t rank,
                                std::size_t observers,
                                std::uint64_t version,
                                time_point now)
{
    if (newest_ && newest_->version <= version) {
        as_of_ = std::max(as_of_, newest_->as_of);
        newest_.reset();
    }
    return started_ && rank < observers &&
           age(now) >= patience_at(rank, observers);
}

time_point store_confirmation::next_turn(std::size_t rank,
                                         std::size_t observers,
                                         time_point now) const
{
    const auto turns = static_cast<int>(std::max<std::size_t>(1, observers));
    const auto turn = static_cast<int>(rank) % turns;
    const time_point first = as_of_ + interval + retry_round * turn / turns;
    if (now < first)
        return first;
    const auto rounds_over = (now - first) / retry_round;
    return first + (rounds_over + 1) * retry_round;
}

bool store_confirmation::is_recent(time_point now) const
{
    return started_ && age(now) < second_patience;
}

} // namespace galenarudder::rollout
