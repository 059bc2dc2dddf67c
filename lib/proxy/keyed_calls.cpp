// Carries out the actions of the state machine once::claims.
#include "galenarudder/proxy/keyed_calls.hpp"

#include "galenarudder/proxy/http_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using support::monotonic_clock;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr support::milliseconds store_timeout{1'000};
constexpr support::duration default_retention = std::chrono::hours(24);

/// Passes the decision on a claim to the coroutine that waits for it.
using claim_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, claim_result)>;

once::instant current_instant()
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return {monotonic_clock::now(), static_cast<std::uint64_t>(wall.count())};
}

refusal daemon_stopping()
{
    return {refusal_kind::draining, run_outcome::not_run, true,
            support::milliseconds(0), "the daemon is stopping"};
}

refusal response_not_recorded(const once::recorded_outcome& recorded)
{
    return {refusal_kind::answer_not_kept, run_outcome::unknown, true,
            support::milliseconds(0),
            "the first call with this key was answered with status " +
                std::to_string(recorded.status)};
}

/// Returns the response for a repeated call: the recorded one if its body was
/// recorded, else a refusal.
claim_result replay_response(const once::recorded_outcome& recorded)
{
    if (recorded.body_kept)
        return recorded;
    return response_not_recorded(recorded);
}

once::write_result
write_result_of(const support::result<store::swap_outcome>& reply)
{
    if (!reply) {
        return reply.error().kind == support::error_kind::store_unavailable
                   ? once::write_result::not_sent
                   : once::write_result::unknown;
    }
    return reply.value() == store::swap_outcome::swapped
               ? once::write_result::swapped
               : once::write_result::index_mismatch;
}

} // namespace

class keyed_calls::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::any_io_executor executor,
         store::platform_store& store,
         telemetry::metrics& metrics,
         std::string owner)
        : executor_(std::move(executor)), timer_(executor_), store_(store),
          metrics_(metrics), machine_(std::move(owner), default_retention)
    {
    }

    template <typename Work>
    void on_executor(Work work)
    {
        asio::post(executor_,
                   [self = shared_from_this(),
                    work = std::move(work)]() mutable { work(*self); });
    }

    once::claim_request_id next_request_id()
    {
        return static_cast<once::claim_request_id>(++last_request_id_);
    }
    void start_claim(const once::claim_request& request,
                     std::shared_ptr<keyed_calls> owner,
                     std::shared_ptr<claim_channel> decision);
    void record_outcome(once::claim_request_id request,
                        once::call_outcome outcome);
    void set_retention(support::duration retention)
    {
        machine_.set_retention(retention);
    }
    bool pending() const { return pending_; }

private:
    struct waiting_request
    {
        std::shared_ptr<keyed_calls> owner;
        std::shared_ptr<claim_channel> decision;
    };

    void perform(const std::vector<once::claim_action>& actions);
    void execute(const once::read_shard& action);
    void execute(const once::write_shard& action);
    void execute(const once::admit& decision);
    void execute(const once::replay& decision);
    void execute(const once::refuse_claim& decision);
    void deliver(once::claim_request_id request,
                 claim_result decision,
                 const char* counter,
                 const char* help);
    void arm_timer();

    asio::any_io_executor executor_;
    asio::steady_timer timer_;
    store::platform_store& store_;
    telemetry::metrics& metrics_;
    once::claims machine_;
    std::map<once::claim_request_id, waiting_request> waiting_;
    std::atomic<std::uint64_t> last_request_id_{0};
    std::atomic<bool> pending_{false};
    bool timer_armed_ = false;
};

void keyed_calls::impl::start_claim(const once::claim_request& request,
                                    std::shared_ptr<keyed_calls> owner,
                                    std::shared_ptr<claim_channel> decision)
{
    waiting_[request.id] = {std::move(owner), std::move(decision)};
    perform(machine_.on_call(request, current_instant()));
}

void keyed_calls::impl::record_outcome(once::claim_request_id request,
                                       once::call_outcome outcome)
{
    perform(
        machine_.on_outcome(request, std::move(outcome), current_instant()));
}

void keyed_calls::impl::perform(const std::vector<once::claim_action>& actions)
{
    for (const once::claim_action& action : actions)
        std::visit([this](const auto& alternative) { execute(alternative); },
                   action);
    pending_ = machine_.pending();
    if (machine_.pending())
        arm_timer();
}

void keyed_calls::impl::execute(const once::read_shard& action)
{
    metrics_.add_to_counter("galenarudder_claim_reads_total",
                            "Reads of claims from the store");
    store_.get(once::shard_key(action.shard), store::read_freshness::newest,
               store_timeout,
               [weak = weak_from_this(), shard = action.shard](
                   support::result<store::indexed_value> stored) {
                   const auto self = weak.lock();
                   if (!self)
                       return;
                   const once::instant now = current_instant();
                   self->perform(
                       stored
                           ? self->machine_.on_read(shard, stored.value().value,
                                                    stored.value().index, now)
                           : self->machine_.on_read_failed(shard, now));
               });
}

void keyed_calls::impl::execute(const once::write_shard& action)
{
    metrics_.add_to_counter("galenarudder_claim_writes_total",
                            "Writes of claims to the store");
    store_.compare_and_swap(
        once::shard_key(action.shard), action.value, action.expected_index, "",
        store_timeout,
        [weak = weak_from_this(),
         shard = action.shard](support::result<store::swap_outcome> swapped) {
            if (const auto self = weak.lock()) {
                self->perform(self->machine_.on_write(
                    shard, write_result_of(swapped), current_instant()));
            }
        });
}

void keyed_calls::impl::deliver(once::claim_request_id request,
                                claim_result decision,
                                const char* counter,
                                const char* help)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end())
        return;
    const waiting_request waiting = std::move(found->second);
    waiting_.erase(found);
    metrics_.add_to_counter(counter, help);
    waiting.decision->try_send(boost::system::error_code(),
                               std::move(decision));
}

void keyed_calls::impl::execute(const once::admit& decision)
{
    const auto found = waiting_.find(decision.request);
    if (found == waiting_.end())
        return;
    deliver(decision.request,
            std::make_shared<held_claim>(found->second.owner, decision.request),
            "galenarudder_claims_admitted_total",
            "Keyed calls whose claim was written");
}

void keyed_calls::impl::execute(const once::replay& decision)
{
    deliver(decision.request, replay_response(decision.response),
            "galenarudder_claims_replayed_total",
            "Keyed calls answered with the outcome of an earlier one");
}

void keyed_calls::impl::execute(const once::refuse_claim& decision)
{
    deliver(decision.request, decision.refusal,
            "galenarudder_claims_refused_total",
            "Keyed calls refused before dispatch");
}

void keyed_calls::impl::arm_timer()
{
    if (timer_armed_)
        return;
    timer_armed_ = true;
    timer_.expires_after(tick_interval);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->timer_armed_ = false;
        self->perform(self->machine_.on_tick(current_instant()));
    });
}

keyed_calls::keyed_calls(asio::any_io_executor executor,
                         store::platform_store& store,
                         telemetry::metrics& metrics,
                         std::string owner)
    : impl_(std::make_shared<impl>(
          std::move(executor), store, metrics, std::move(owner)))
{
}

keyed_calls::~keyed_calls() = default;

void keyed_calls::set_retention(support::duration retention)
{
    impl_->on_executor(
        [retention](impl& self) { self.set_retention(retention); });
}

bool keyed_calls::pending() const
{
    return impl_->pending();
}

asio::awaitable<claim_result> keyed_calls::claim(const support::call_head& head,
                                                 std::string_view key_digest,
                                                 support::time_point deadline)
{
    if (head.idempotency_key.empty() || head.repeatable)
        co_return claim_result();
    // Organisations choose their keys independently, and one must not get the
    // recorded response of another. A field's value has no line break, and a
    // name is not empty.
    once::claim_request by_name;
    by_name.service = head.service;
    by_name.key = head.idempotency_key;
    by_name.deadline = deadline;
    once::claim_request by_key = by_name;
    if (!head.organisation.empty())
        by_name.key.insert(0, head.organisation + "\n");
    by_key.key.insert(0, "\n" + std::string(key_digest));
    claim_result first = co_await claim_once(std::move(by_name));
    if (key_digest.empty())
        co_return first;
    if (const auto* refused = std::get_if<refusal>(&first)) {
        if (refused->kind != refusal_kind::already_running)
            co_return first;
        // After a rename, another daemon may be copying the outcome that is
        // recorded under the key to the new name.
        by_key.lookup = true;
        claim_result recorded = co_await claim_once(std::move(by_key));
        co_return std::holds_alternative<once::recorded_outcome>(recorded)
            ? std::move(recorded)
            : std::move(first);
    }
    // All callers claim in this order, so of two equal calls one is admitted
    // wherever they share the name or the key.
    claim_result second = co_await claim_once(std::move(by_key));
    const auto* named = std::get_if<std::shared_ptr<held_claim>>(&first);
    const auto* keyed = std::get_if<std::shared_ptr<held_claim>>(&second);
    if (named != nullptr && keyed != nullptr)
        (*named)->join(**keyed);
    else if (named != nullptr)
        (*named)->on_found(second);
    else if (keyed != nullptr)
        (*keyed)->on_found(first);
    co_return named != nullptr&& keyed == nullptr ? std::move(second)
                                                  : std::move(first);
}

asio::awaitable<claim_result>
keyed_calls::claim_once(once::claim_request request)
{
    request.id = impl_->next_request_id();
    const asio::any_io_executor caller_executor =
        co_await asio::this_coro::executor;
    auto decision_channel = std::make_shared<claim_channel>(caller_executor, 1);
    auto owner = shared_from_this();
    impl_->on_executor(
        [request = std::move(request), owner, decision_channel](impl& self) {
            self.start_claim(request, owner, decision_channel);
        });
    auto [failure, decision] =
        co_await decision_channel->async_receive(use_nothrow_awaitable);
    if (failure) {
        co_return claim_result(daemon_stopping());
    }
    co_return std::move(decision);
}

void keyed_calls::record_outcome(once::claim_request_id request,
                                 once::call_outcome outcome)
{
    impl_->on_executor([request, outcome = std::move(outcome)](impl& self) {
        self.record_outcome(request, outcome);
    });
}

held_claim::held_claim(std::shared_ptr<keyed_calls> owner,
                       once::claim_request_id request)
    : owner_(std::move(owner)), requests_{request}
{
}

held_claim::~held_claim()
{
    finish(once::call_outcome::kind::unknown);
}

void held_claim::on_response(const support::response_head& head)
{
    outcome_.response.status = head.status;
    outcome_.response.content_type =
        std::string(find_field(head.fields, "Content-Type"));
}

void held_claim::on_response_part(std::string_view data)
{
    std::string& body = outcome_.response.body;
    body_fits_ =
        body_fits_ && body.size() + data.size() <= once::max_kept_body_bytes;
    if (body_fits_)
        body += data;
    else
        body.clear();
}

/// A call whose response was cut off did run; only the body is not recorded.
void held_claim::on_response_end(bool complete)
{
    outcome_.response.body_kept = complete && body_fits_;
    finish(once::call_outcome::kind::answered);
}

void held_claim::on_refusal(const refusal& reason)
{
    finish(reason.outcome == run_outcome::not_run
               ? once::call_outcome::kind::not_run
               : once::call_outcome::kind::unknown);
}

void held_claim::join(held_claim& other)
{
    requests_.insert(requests_.end(), other.requests_.begin(),
                     other.requests_.end());
    other.requests_.clear();
}

void held_claim::on_found(const claim_result& found)
{
    const auto* recorded = std::get_if<once::recorded_outcome>(&found);
    if (recorded == nullptr) {
        finish(once::call_outcome::kind::not_run);
        return;
    }
    outcome_.response = *recorded;
    finish(once::call_outcome::kind::answered);
}

void held_claim::finish(once::call_outcome::kind result)
{
    if (finished_)
        return;
    finished_ = true;
    outcome_.result = result;
    for (const once::claim_request_id request : requests_)
        owner_->record_outcome(request, outcome_);
}

} // namespace galenarudder::proxy
