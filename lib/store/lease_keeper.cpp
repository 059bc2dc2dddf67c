// Renews a lease after a third of its TTL and gives it up after two thirds.
#include "galenarudder/store/lease_keeper.hpp"

#include "galenarudder/store/backoff.hpp"

namespace galenarudder::store {

namespace {

/// Parts of the TTL after which the lease is renewed and given up.
constexpr int renew_after_thirds = 1;
constexpr int valid_for_thirds = 2;
/// Part of the TTL after which a request without an answer is repeated.
constexpr int repeat_after_sixths = 1;

} // namespace

lease_keeper::lease_keeper(support::duration ttl, std::uint64_t seed)
    : ttl_(ttl), random_(seed)
{
}

bool lease_keeper::holds(support::time_point now) const
{
    return !lease_id_.empty() && now < valid_until_;
}

std::string lease_keeper::lease_id(support::time_point now) const
{
    return holds(now) ? lease_id_ : std::string();
}

void lease_keeper::retry_later(support::time_point now)
{
    // A first retry within a twelfth of the TTL leaves time for further ones
    // before the lease is given up.
    const backoff_limits limits{ttl_ / 12, ttl_};
    next_request_at_ = now + backoff(limits, consecutive_failures_++, random_);
}

std::vector<lease_action> lease_keeper::give_up(support::time_point now)
{
    std::vector<lease_action> actions{lease_lost{lease_id_}};
    lease_id_.clear();
    phase_ = phase::idle;
    next_request_at_ = now;
    return actions;
}

std::vector<lease_action> lease_keeper::on_tick(support::time_point now)
{
    if (!lease_id_.empty() && now >= valid_until_)
        return give_up(now);
    const bool awaiting_answer =
        phase_ == phase::granting || phase_ == phase::renewing;
    if (awaiting_answer && now - sent_at_ < ttl_ * repeat_after_sixths / 6)
        return {};
    if (!awaiting_answer && now < next_request_at_)
        return {};
    sent_at_ = now;
    ++last_request_number_;
    if (lease_id_.empty()) {
        phase_ = phase::granting;
        return {grant_request{ttl_, last_request_number_}};
    }
    phase_ = phase::renewing;
    return {renewal_request{lease_id_, last_request_number_}};
}

std::vector<lease_action>
lease_keeper::on_granted(std::uint64_t request_number,
                         support::result<std::string> lease,
                         support::time_point now)
{
    if (phase_ != phase::granting || request_number != last_request_number_)
        return {};
    phase_ = phase::idle;
    if (!lease) {
        retry_later(now);
        return {};
    }
    const support::time_point valid_until =
        sent_at_ + ttl_ * valid_for_thirds / 3;
    if (now >= valid_until) {
        // The process was paused while it waited; the lease may have lapsed.
        retry_later(now);
        return {};
    }
    consecutive_failures_ = 0;
    phase_ = phase::held;
    lease_id_ = std::move(lease).value();
    valid_until_ = valid_until;
    next_request_at_ = sent_at_ + ttl_ * renew_after_thirds / 3;
    return {};
}

std::vector<lease_action>
lease_keeper::on_renewed(std::uint64_t request_number,
                         const support::result<void>& renewed,
                         support::time_point now)
{
    if (phase_ != phase::renewing || request_number != last_request_number_)
        return {};
    phase_ = phase::held;
    if (!renewed) {
        if (renewed.error().kind == support::error_kind::not_found)
            return give_up(now);
        retry_later(now);
        return {};
    }
    consecutive_failures_ = 0;
    valid_until_ = sent_at_ + ttl_ * valid_for_thirds / 3;
    next_request_at_ = sent_at_ + ttl_ * renew_after_thirds / 3;
    return {};
}

std::vector<lease_action> lease_keeper::on_lapsed(support::time_point now)
{
    if (lease_id_.empty())
        return {};
    return give_up(now);
}

} // namespace galenarudder::store
