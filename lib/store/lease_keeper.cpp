// Renews at a third of the lease's life and gives it up at two thirds.
#include "galenarudder/store/lease_keeper.hpp"

#include "galenarudder/store/backoff.hpp"

namespace galenarudder::store {

namespace {

/// Parts of the lease's life after which it is renewed and given up.
constexpr int renew_after_thirds = 1;
constexpr int safe_for_thirds = 2;
/// A request without an answer for this part of the life is repeated.
constexpr int repeat_after_sixths = 1;

} // namespace

lease_keeper::lease_keeper(support::duration ttl, std::uint64_t seed)
    : ttl_(ttl), random_(seed)
{
}

bool lease_keeper::holds(support::time_point now) const
{
    return !lease_.empty() && now < safe_until_;
}

std::string lease_keeper::held(support::time_point now) const
{
    return holds(now) ? lease_ : std::string();
}

void lease_keeper::retry_later(support::time_point now)
{
    const backoff_limits limits{ttl_ / 12, ttl_};
    next_ = now + backoff(limits, failures_++, random_);
}

std::vector<lease_action> lease_keeper::lose(support::time_point now)
{
    std::vector<lease_action> actions{lease_lost{lease_}};
    lease_.clear();
    phase_ = phase::idle;
    next_ = now;
    return actions;
}

std::vector<lease_action> lease_keeper::on_tick(support::time_point now)
{
    if (!lease_.empty() && now >= safe_until_)
        return lose(now);
    const bool waits = phase_ == phase::granting || phase_ == phase::renewing;
    if (waits && now - asked_ < ttl_ * repeat_after_sixths / 6)
        return {};
    if (!waits && now < next_)
        return {};
    asked_ = now;
    ++request_;
    if (lease_.empty()) {
        phase_ = phase::granting;
        return {grant_wanted{ttl_, request_}};
    }
    phase_ = phase::renewing;
    return {renew_wanted{lease_, request_}};
}

std::vector<lease_action>
lease_keeper::on_granted(std::uint64_t request,
                         support::result<std::string> lease,
                         support::time_point now)
{
    if (phase_ != phase::granting || request != request_)
        return {};
    phase_ = phase::idle;
    if (!lease) {
        retry_later(now);
        return {};
    }
    const support::time_point safe_until = asked_ + ttl_ * safe_for_thirds / 3;
    if (now >= safe_until) {
        // The process was paused while it waited; the lease may be gone.
        retry_later(now);
        return {};
    }
    failures_ = 0;
    phase_ = phase::held;
    lease_ = std::move(lease).value();
    safe_until_ = safe_until;
    next_ = asked_ + ttl_ * renew_after_thirds / 3;
    return {};
}

std::vector<lease_action>
lease_keeper::on_renewed(std::uint64_t request,
                         const support::result<void>& renewed,
                         support::time_point now)
{
    if (phase_ != phase::renewing || request != request_)
        return {};
    phase_ = phase::held;
    if (!renewed) {
        if (renewed.error().kind == support::error_kind::not_found)
            return lose(now);
        retry_later(now);
        return {};
    }
    failures_ = 0;
    safe_until_ = asked_ + ttl_ * safe_for_thirds / 3;
    next_ = asked_ + ttl_ * renew_after_thirds / 3;
    return {};
}

} // namespace galenarudder::store
