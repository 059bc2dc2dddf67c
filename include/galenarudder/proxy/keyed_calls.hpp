/// \file
/// Moves bytes for the claims of idempotency keys: drives once::claims on one
/// executor, with the platform's store.
#pragma once

#include "galenarudder/once/claims.hpp"
#include "galenarudder/store/platform_store.hpp"
#include "galenarudder/support/call.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/telemetry/metrics.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace galenarudder::proxy {

class keyed_calls;

/// The claim of one admitted call. It sees how the call ends and records it;
/// a call that is dropped on the way is recorded as ended unknown.
class held_claim
{
public:
    held_claim(std::shared_ptr<keyed_calls> owner, once::ticket who);
    ~held_claim();
    held_claim(const held_claim&) = delete;
    held_claim& operator=(const held_claim&) = delete;

    void on_answer(const support::answer_head& head);
    void on_answer_part(std::string_view data);
    /// The answer's body ended; \p whole unless it broke off.
    void on_answer_end(bool whole);
    void on_refusal(const support::refusal& why);

private:
    void settle(once::call_outcome::kind how);

    std::shared_ptr<keyed_calls> owner_;
    once::ticket who_;
    once::call_outcome outcome_;
    bool body_fits_ = true;
    bool settled_ = false;
};

/// The call has no key, or may repeat.
struct no_claim_needed
{
};

using claim_answer = std::variant<no_claim_needed,
                                  std::shared_ptr<held_claim>,
                                  once::recorded_outcome,
                                  support::refusal>;

/// All members may be called from any thread; the store's callbacks must run
/// on \p executor, which must serialize its work.
class keyed_calls : public std::enable_shared_from_this<keyed_calls>
{
public:
    keyed_calls(boost::asio::any_io_executor executor,
                store::platform_store& store,
                telemetry::metrics& metrics,
                std::string owner);
    ~keyed_calls();

    void set_retention(support::duration retention);

    /// Waits until the call may be dispatched, or is not to be. Resumes on
    /// the executor of the coroutine that calls it.
    boost::asio::awaitable<claim_answer> claim(const support::call_head& head,
                                               support::time_point deadline);

    /// True while an outcome has not reached the store.
    bool pending() const;

private:
    friend class held_claim;
    class impl;
    void settle(once::ticket who, once::call_outcome outcome);

    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::proxy
