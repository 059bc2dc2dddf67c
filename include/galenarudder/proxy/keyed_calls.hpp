/// \file
/// Carries out the I/O of claims on idempotency keys: runs once::claims on one
/// executor against the platform's store.
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
#include <vector>

namespace galenarudder::proxy {

class keyed_calls;
class held_claim;

/// The call has no idempotency key or is repeatable.
struct no_claim_needed
{
};

/// Decision on a call: it may be dispatched, without a claim or with the given
/// one; or it gets a recorded response or a refusal.
using claim_result = std::variant<no_claim_needed,
                                  std::shared_ptr<held_claim>,
                                  once::recorded_outcome,
                                  support::refusal>;

/// The claim of one admitted call. Records how the call ends; if it is
/// destroyed before that, the outcome is recorded as unknown.
class held_claim
{
public:
    held_claim(std::shared_ptr<keyed_calls> owner,
               once::claim_request_id request);
    ~held_claim();
    held_claim(const held_claim&) = delete;
    held_claim& operator=(const held_claim&) = delete;

    void on_response(const support::response_head& head);
    void on_response_part(std::string_view data);
    /// The content of the response ended; \p complete is false if it was cut
    /// off.
    void on_response_end(bool complete);
    void on_refusal(const support::refusal& reason);
    /// Takes over the claim of the same call under another identity.
    void join(held_claim& other);
    /// The call will not be dispatched, since it was found under another
    /// identity. Records the response that was found, if any, and otherwise
    /// leaves the key free.
    void on_found(const claim_result& found);

private:
    void finish(once::call_outcome::kind result);

    std::shared_ptr<keyed_calls> owner_;
    std::vector<once::claim_request_id> requests_;
    once::call_outcome outcome_;
    bool body_fits_ = true;
    bool finished_ = false;
};

/// Claims the idempotency keys of calls. All members may be called from any
/// thread. The executor must serialize its work, and the store's callbacks must
/// run on it.
class keyed_calls : public std::enable_shared_from_this<keyed_calls>
{
public:
    keyed_calls(boost::asio::any_io_executor executor,
                store::platform_store& store,
                telemetry::metrics& metrics,
                std::string owner);
    ~keyed_calls();

    void set_retention(support::duration retention);

    /// Waits for the decision whether the call may be dispatched. Resumes on
    /// the executor of the calling coroutine. A call of an organisation is
    /// claimed under its name and under \p key_digest, that of the caller's
    /// key: a renamed organisation keeps its keys, and one with new keys its
    /// name.
    boost::asio::awaitable<claim_result> claim(const support::call_head& head,
                                               std::string_view key_digest,
                                               support::time_point deadline);

    /// Returns whether a claim, an outcome or a release has not yet reached the
    /// store.
    bool pending() const;

private:
    friend class held_claim;
    class impl;
    boost::asio::awaitable<claim_result>
    claim_once(once::claim_request request);
    void record_outcome(once::claim_request_id request,
                        once::call_outcome outcome);

    std::shared_ptr<impl> impl_;
};

} // namespace galenarudder::proxy
