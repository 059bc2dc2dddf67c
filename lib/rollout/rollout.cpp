// First form of the rollout: reads the store at a fixed interval.
#include "galenarudder/rollout/rollout.hpp"

#include <optional>

namespace galenarudder::rollout {

namespace {

constexpr support::milliseconds read_interval{500};

} // namespace

struct rollout::state
{
    std::string member;
    support::random_engine random;
    std::optional<config::document> current;
    support::time_point next_read{};
};

rollout::rollout(std::string member, std::uint64_t seed)
    : state_(std::make_unique<state>())
{
    state_->member = std::move(member);
    state_->random.seed(seed);
}

rollout::~rollout() = default;

std::vector<action> rollout::on_document(std::string_view text,
                                         support::time_point)
{
    support::result<config::document> parsed = config::parse_document(text);
    if (!parsed)
        return {};
    if (parsed.value().version <= version())
        return {};
    state_->current = std::move(parsed).value();
    return {adopt{*state_->current}};
}

std::vector<action> rollout::on_store_unavailable(support::time_point)
{
    return {};
}

std::vector<action> rollout::on_tick(support::time_point now)
{
    if (now < state_->next_read)
        return {};
    state_->next_read = now + read_interval;
    return {read_store{}};
}

const config::document* rollout::current() const
{
    return state_->current ? &*state_->current : nullptr;
}

std::uint64_t rollout::version() const
{
    return state_->current ? state_->current->version : 0;
}

} // namespace galenarudder::rollout
