// Executes the claim machine's actions.
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

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr support::milliseconds store_timeout{1'000};
constexpr support::duration first_retention = std::chrono::hours(24);

/// Carries one claim's answer to the coroutine that waits for it.
using claim_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, claim_answer)>;

once::instant current_instant()
{
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return {monotonic_clock::now(), static_cast<std::uint64_t>(wall.count())};
}

refusal executor_gone()
{
    return {refusal_kind::draining, run_outcome::not_run, true,
            support::milliseconds(0), "the daemon stops"};
}

refusal not_kept(const once::recorded_outcome& recorded)
{
    return {refusal_kind::answer_not_kept, run_outcome::unknown, true,
            support::milliseconds(0),
            "the first call with this key was answered with status " +
                std::to_string(recorded.status)};
}

/// What a second call gets: the whole recorded answer, or a refusal.
claim_answer answer_again(const once::recorded_outcome& recorded)
{
    if (recorded.body_kept)
        return recorded;
    return not_kept(recorded);
}

once::write_result
write_result_of(const support::result<store::swap_outcome>& answer)
{
    if (!answer) {
        return answer.error().kind == support::error_kind::store_unavailable
                   ? once::write_result::not_sent
                   : once::write_result::unknown;
    }
    return answer.value() == store::swap_outcome::swapped
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
          metrics_(metrics), machine_(std::move(owner), first_retention)
    {
    }

    template <typename Work>
    void on_executor(Work work)
    {
        asio::post(executor_,
                   [self = shared_from_this(),
                    work = std::move(work)]() mutable { work(*self); });
    }

    once::ticket next_ticket()
    {
        return static_cast<once::ticket>(++last_ticket_);
    }
    void begin(const once::claim_request& wanted,
               std::shared_ptr<keyed_calls> owner,
               std::shared_ptr<claim_channel> answer);
    void end(once::ticket who, once::call_outcome outcome);
    void set_retention(support::duration retention)
    {
        machine_.set_retention(retention);
    }
    bool pending() const { return pending_; }

private:
    struct waiting_call
    {
        std::shared_ptr<keyed_calls> owner;
        std::shared_ptr<claim_channel> answer;
    };

    void perform(const std::vector<once::claim_action>& actions);
    void execute(const once::read_shard& wanted);
    void execute(const once::write_shard& wanted);
    void execute(const once::admit& decided);
    void execute(const once::replay& decided);
    void execute(const once::refuse_claim& decided);
    void answer(once::ticket who,
                claim_answer what,
                const char* counter,
                const char* help);
    void arm_timer();

    asio::any_io_executor executor_;
    asio::steady_timer timer_;
    store::platform_store& store_;
    telemetry::metrics& metrics_;
    once::claims machine_;
    std::map<once::ticket, waiting_call> waiting_;
    std::atomic<std::uint64_t> last_ticket_{0};
    std::atomic<bool> pending_{false};
    bool timer_armed_ = false;
};

void keyed_calls::impl::begin(const once::claim_request& wanted,
                              std::shared_ptr<keyed_calls> owner,
                              std::shared_ptr<claim_channel> answer)
{
    waiting_[wanted.who] = {std::move(owner), std::move(answer)};
    perform(machine_.on_call(wanted, current_instant()));
}

void keyed_calls::impl::end(once::ticket who, once::call_outcome outcome)
{
    perform(machine_.on_outcome(who, std::move(outcome), current_instant()));
}

void keyed_calls::impl::perform(const std::vector<once::claim_action>& actions)
{
    for (const once::claim_action& next : actions)
        std::visit([this](const auto& what) { execute(what); }, next);
    pending_ = machine_.pending();
    if (machine_.pending())
        arm_timer();
}

void keyed_calls::impl::execute(const once::read_shard& wanted)
{
    metrics_.add("galenarudder_claim_reads_total",
                 "Reads of claims from the store");
    store_.get(once::shard_key(wanted.shard), store_timeout,
               [weak = weak_from_this(), shard = wanted.shard](
                   support::result<store::versioned_value> found) {
                   const auto self = weak.lock();
                   if (!self)
                       return;
                   const once::instant at = current_instant();
                   self->perform(
                       found
                           ? self->machine_.on_read(shard, found.value().value,
                                                    found.value().index, at)
                           : self->machine_.on_read_failed(shard, at));
               });
}

void keyed_calls::impl::execute(const once::write_shard& wanted)
{
    metrics_.add("galenarudder_claim_writes_total",
                 "Writes of claims to the store");
    store_.compare_and_swap(
        once::shard_key(wanted.shard), wanted.value, wanted.expected_index, "",
        store_timeout,
        [weak = weak_from_this(),
         shard = wanted.shard](support::result<store::swap_outcome> done) {
            if (const auto self = weak.lock()) {
                self->perform(self->machine_.on_write(
                    shard, write_result_of(done), current_instant()));
            }
        });
}

void keyed_calls::impl::answer(once::ticket who,
                               claim_answer what,
                               const char* counter,
                               const char* help)
{
    const auto found = waiting_.find(who);
    if (found == waiting_.end())
        return;
    const waiting_call decided = std::move(found->second);
    waiting_.erase(found);
    metrics_.add(counter, help);
    decided.answer->try_send(boost::system::error_code(), std::move(what));
}

void keyed_calls::impl::execute(const once::admit& decided)
{
    const auto found = waiting_.find(decided.who);
    if (found == waiting_.end())
        return;
    answer(decided.who,
           std::make_shared<held_claim>(found->second.owner, decided.who),
           "galenarudder_claims_admitted_total",
           "Keyed calls whose claim was written");
}

void keyed_calls::impl::execute(const once::replay& decided)
{
    answer(decided.who, answer_again(decided.answer),
           "galenarudder_claims_replayed_total",
           "Keyed calls answered with the outcome of an earlier one");
}

void keyed_calls::impl::execute(const once::refuse_claim& decided)
{
    answer(decided.who, decided.why, "galenarudder_claims_refused_total",
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

asio::awaitable<claim_answer> keyed_calls::claim(const support::call_head& head,
                                                 support::time_point deadline)
{
    if (head.key.empty() || head.repeatable)
        co_return claim_answer();
    once::claim_request wanted;
    wanted.who = impl_->next_ticket();
    wanted.service = head.service;
    wanted.key = head.key;
    wanted.deadline = deadline;
    const asio::any_io_executor own = co_await asio::this_coro::executor;
    auto decided = std::make_shared<claim_channel>(own, 1);
    auto owner = shared_from_this();
    impl_->on_executor([wanted = std::move(wanted), owner, decided](
                           impl& self) { self.begin(wanted, owner, decided); });
    auto [failed, answer] = co_await decided->async_receive(awaiting);
    if (failed) {
        co_return claim_answer(executor_gone());
    }
    co_return std::move(answer);
}

void keyed_calls::settle(once::ticket who, once::call_outcome outcome)
{
    impl_->on_executor([who, outcome = std::move(outcome)](impl& self) {
        self.end(who, outcome);
    });
}

held_claim::held_claim(std::shared_ptr<keyed_calls> owner, once::ticket who)
    : owner_(std::move(owner)), who_(who)
{
}

held_claim::~held_claim()
{
    settle(once::call_outcome::kind::unknown);
}

void held_claim::on_answer(const support::answer_head& head)
{
    outcome_.answer.status = head.status;
    outcome_.answer.content_type =
        std::string(find_field(head.fields, "Content-Type"));
}

void held_claim::on_answer_part(std::string_view data)
{
    std::string& body = outcome_.answer.body;
    body_fits_ =
        body_fits_ && body.size() + data.size() <= once::max_kept_body_bytes;
    if (body_fits_)
        body += data;
    else
        body.clear();
}

/// An answer whose body broke off has run; only its body is not kept.
void held_claim::on_answer_end(bool whole)
{
    outcome_.answer.body_kept = whole && body_fits_;
    settle(once::call_outcome::kind::answered);
}

void held_claim::on_refusal(const refusal& why)
{
    settle(why.outcome == run_outcome::not_run
               ? once::call_outcome::kind::not_run
               : once::call_outcome::kind::unknown);
}

void held_claim::settle(once::call_outcome::kind how)
{
    if (settled_)
        return;
    settled_ = true;
    outcome_.how = how;
    owner_->settle(who_, std::move(outcome_));
}

} // namespace galenarudder::proxy
