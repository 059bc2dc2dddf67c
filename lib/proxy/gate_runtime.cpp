// Carries out the actions of admission::gate.
#include "galenarudder/proxy/gate_runtime.hpp"

#include "galenarudder/admission/turn_statistics.hpp"
#include "galenarudder/http/client.hpp"
#include "galenarudder/proxy/upstream_client.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <atomic>
#include <map>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using admission::attempt_key;
using support::monotonic_clock;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);
constexpr auto idle_tick_interval = std::chrono::milliseconds(50);
/// A load query that takes longer is of no use.
constexpr support::milliseconds load_query_timeout{100};
/// Connections in addition to one for each slot, so that closed ones can be
/// replaced while all slots are in use.
constexpr std::uint32_t spare_connections = 2;
constexpr std::uint64_t own_entry_link = 0;
constexpr auto metrics_interval = std::chrono::seconds(1);
constexpr unsigned status_ok = 200;
/// Interval between checks of an upstream that is not known to serve.
constexpr support::milliseconds confirmation_interval{250};
constexpr support::milliseconds probe_timeout{1000};
/// The caller's daemon learns of the other service within about this time.
constexpr support::milliseconds other_service_retry_after{1000};

http::client_request probe_request(const std::string& path)
{
    return {"GET", path, "", {}};
}

} // namespace

class gate_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io,
         std::shared_ptr<const config::configuration> in_force,
         const http_dialect& dialect)
        : strand_(asio::make_strand(io)), timer_(strand_), gate_(in_force),
          dialect_(dialect), in_force_(std::move(in_force))
    {
    }

    template <typename Work>
    void on_strand(Work work)
    {
        asio::post(strand_,
                   [self = shared_from_this(),
                    work = std::move(work)]() mutable { work(*self); });
    }

    void tick();
    void submit(std::uint64_t link, link::exchange_ptr attempt);
    void cancel(const attempt_key& key);
    void link_closed(std::uint64_t link);
    void perform(const std::vector<admission::action>& actions);
    void configure(std::shared_ptr<const config::configuration> in_force);
    void set_upstream(upstream_properties upstream);
    bool awaits_configuration() const;
    void confirm_serving();
    void upstream_leaving();
    void upstream_gone();
    void set_emptied(bool emptied);
    std::size_t running() const
    {
        return running_.load(std::memory_order_relaxed);
    }
    void report_to(telemetry::metrics& metrics,
                   telemetry::decision_log& decisions);
    void drain(std::function<void()> on_drained);
    void check_drained();

    void set_leaving_handler(
        std::function<void(const upstream_properties&)> on_leaving)
    {
        on_leaving_stated_ = std::move(on_leaving);
    }
    void set_serving_handler(serving_handler on_changed)
    {
        on_serving_changed_ = std::move(on_changed);
    }
    admission::gate& machine() { return gate_; }

private:
    struct open_attempt
    {
        link::exchange_ptr exchange;
        support::time_point deadline;
        std::shared_ptr<upstream_call> running_call;
        support::time_point arrived_at{};
        support::time_point started_at{};
    };

    support::load_report load_report_of(const open_attempt& attempt) const;
    void execute(const admission::start& action);
    void execute(const admission::refuse& action);
    void execute(const admission::abort_running& action);
    void refuse(const attempt_key& key,
                const support::refusal& reason,
                const support::load_report& load);
    void refuse_other_service(const attempt_key& key);
    bool is_nested(const support::call_head& head) const;
    void query_slowdown();
    void query_cold();
    void on_cold_stated(const std::optional<upstream_load>& stated_load);
    void apply_cold(admission::cold_source source,
                    support::milliseconds remaining);
    void apply_cold_rate();
    void arm_timer();
    void on_finished(const attempt_key& key,
                     upstream_result result,
                     support::duration elapsed,
                     const std::optional<upstream_load>& stated_load,
                     std::uint64_t generation);
    void log_result(const attempt_key& key,
                    upstream_result result,
                    support::duration elapsed,
                    const std::optional<upstream_load>& stated_load) const;
    void on_demand(const upstream_demand& stated, std::uint64_t generation);
    void apply_connections();
    void apply_announcement();
    void stop_serving(std::string_view cause);
    std::string probe_path() const;
    asio::awaitable<void> check_serving(std::uint64_t generation);
    void probe_if_due(support::time_point now);
    asio::awaitable<void> probe(support::duration timeout);
    void publish_metrics(support::time_point now);
    void publish_turns();

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    admission::gate gate_;
    const http_dialect& dialect_;
    std::shared_ptr<const config::configuration> in_force_;
    upstream_properties upstream_;
    /// Counts the instances of the upstream; replies to requests that were made
    /// under an earlier count are ignored.
    std::uint64_t instance_generation_ = 0;
    /// Whether calls may be sent to the upstream.
    bool serving_ = false;
    /// Whether a check that the upstream serves is in progress.
    bool confirming_ = false;
    /// Whether the timer uses the short interval.
    bool ticks_often_ = false;
    /// Announcements of the current instance since it last became known or was
    /// last found not to serve.
    unsigned announcement_count_ = 0;
    /// When the gate learned of the current instance.
    support::time_point first_announced_at_{};
    /// Earliest time of the next check that the upstream serves: {} for at
    /// once, max() for never.
    support::time_point next_confirmation_{};
    /// Whether operators emptied the failure domain.
    bool emptied_ = false;
    /// Calls that run at the upstream, for readers on other threads.
    std::atomic<std::size_t> running_ = 0;
    std::shared_ptr<upstream_client> client_;
    std::map<attempt_key, open_attempt> attempts_;
    std::function<void()> on_drained_;
    serving_handler on_serving_changed_;
    std::function<void(const upstream_properties&)> on_leaving_stated_;
    telemetry::metrics* metrics_ = nullptr;
    support::time_point metrics_due_;
    admission::gate_counters published_;
    std::uint64_t published_probes_ = 0;
    support::duration published_probe_cost_{};
};

void gate_runtime::impl::tick()
{
    const support::time_point now = monotonic_clock::now();
    perform(gate_.on_tick(now));
    probe_if_due(now);
    publish_metrics(now);
    arm_timer();
}

/// Uses the short interval only while calls wait to be started.
void gate_runtime::impl::arm_timer()
{
    ticks_often_ = gate_.has_waiting();
    timer_.expires_after(ticks_often_ ? tick_interval : idle_tick_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->tick();
        });
}

void gate_runtime::impl::query_slowdown()
{
    if (!client_ || probe_path().empty()) {
        perform(gate_.on_slowdown_report(std::nullopt, monotonic_clock::now()));
        return;
    }
    client_->query_load(
        probe_path(), load_query_timeout,
        [weak = weak_from_this(), generation = instance_generation_](
            const std::optional<upstream_load>& stated_load) {
            const auto self = weak.lock();
            if (!self || self->instance_generation_ != generation)
                return;
            std::optional<double> slowdown;
            if (stated_load)
                slowdown = stated_load->slowdown;
            self->on_cold_stated(stated_load);
            self->perform(self->gate_.on_slowdown_report(
                slowdown, monotonic_clock::now()));
        });
}

/// Asks the upstream whether it has become cold since its last check-in.
void gate_runtime::impl::query_cold()
{
    if (!client_ || probe_path().empty())
        return;
    client_->query_load(
        probe_path(), load_query_timeout,
        [weak = weak_from_this(), generation = instance_generation_](
            const std::optional<upstream_load>& stated_load) {
            const auto self = weak.lock();
            if (!self || self->instance_generation_ != generation)
                return;
            // A response without a cold time is no failure: upstreams may
            // state one only while they are cold.
            if (!stated_load)
                self->gate_.on_cold_query_failed(monotonic_clock::now());
            self->on_cold_stated(stated_load);
        });
}

void gate_runtime::impl::on_cold_stated(
    const std::optional<upstream_load>& stated_load)
{
    if (stated_load && stated_load->cold)
        apply_cold(admission::cold_source::response, *stated_load->cold);
}

void gate_runtime::impl::apply_cold(admission::cold_source source,
                                    support::milliseconds remaining)
{
    const support::time_point now = monotonic_clock::now();
    const bool was_cold = gate_.cold_remaining(now) > support::duration(0);
    perform(gate_.on_cold_stated(source, remaining, now));
    if (was_cold || remaining <= support::milliseconds(0))
        return;
    telemetry::log_event(telemetry::log_kind::state_change, "upstream.cold",
                         {{"instance", upstream_.instance},
                          {"remaining_ms", remaining.count()}});
}

/// Sets the limit that the configuration states for the upstream's service.
void gate_runtime::impl::apply_cold_rate()
{
    const config::service_policy* service =
        in_force_->find_service(upstream_.service);
    perform(gate_.set_cold_rate(service ? service->cold_calls_per_s : 0,
                                monotonic_clock::now()));
}

void gate_runtime::impl::submit(std::uint64_t link, link::exchange_ptr attempt)
{
    const support::time_point now = monotonic_clock::now();
    const attempt_key key{link, attempt->head.id};
    const support::time_point deadline =
        std::min(attempt->deadline, now + attempt->head.remaining_time);
    admission::attempt offered{key,
                               attempt->head.rank,
                               deadline,
                               attempt->head.repeatable,
                               attempt->head.may_hand_back,
                               attempt->head.organisation,
                               is_nested(attempt->head),
                               attempt->in_time_until};
    const bool is_for_upstream = attempt->head.service == upstream_.service;
    attempts_[key] = {std::move(attempt), deadline, nullptr, now, {}};
    // The entry may not know yet that an upstream of another service is at this
    // address. Only the gate, the sole sender, knows for certain.
    if (is_for_upstream || !client_)
        perform(gate_.offer(offered, now));
    else
        refuse_other_service(key);
}

/// Cancels an attempt that waits, and one that was started but waits for a
/// connection. Of the attempts that were sent, only repeatable ones end.
void gate_runtime::impl::cancel(const attempt_key& key)
{
    perform(gate_.cancel(key, monotonic_clock::now()));
    const auto found = attempts_.find(key);
    if (found != attempts_.end() && found->second.running_call)
        found->second.running_call->abort_unsent();
}

/// No response can be delivered on the link any more. Of its attempts, only
/// those that were sent and may not run twice complete.
void gate_runtime::impl::link_closed(std::uint64_t link)
{
    perform(gate_.on_link_closed(link, monotonic_clock::now()));
    for (const auto& [key, attempt] : attempts_) {
        if (key.link == link && attempt.running_call)
            attempt.running_call->abort_unsent();
    }
}

/// Returns whether the call takes precedence as a nested one. Deployments
/// without organisations are served in the order of arrival.
bool gate_runtime::impl::is_nested(const support::call_head& head) const
{
    constexpr unsigned first_nested_depth = 2;
    return head.depth >= first_nested_depth &&
           !in_force_->organisations.empty();
}

/// Refuses a call for a service that the upstream does not run. The refusal
/// carries no load, since that would be taken for the load of an upstream of
/// the call's service.
void gate_runtime::impl::refuse_other_service(const attempt_key& key)
{
    const support::call_head& head = attempts_.at(key).exchange->head;
    const support::refusal reason{
        support::refusal_kind::no_upstream, support::run_outcome::not_run,
        false, other_service_retry_after,
        "the call is for service " + head.service +
            ", but the upstream here runs " + upstream_.service};
    refuse(key, reason, support::load_report());
}

void gate_runtime::impl::perform(const std::vector<admission::action>& actions)
{
    for (const admission::action& next_action : actions)
        std::visit([this](const auto& alternative) { execute(alternative); },
                   next_action);
    if (gate_.take_slowdown_query(monotonic_clock::now()))
        query_slowdown();
    if (gate_.take_cold_query(monotonic_clock::now()))
        query_cold();
    running_.store(gate_.running(), std::memory_order_relaxed);
    if (!ticks_often_ && gate_.has_waiting())
        arm_timer();
    check_drained();
}

void gate_runtime::impl::probe_if_due(support::time_point now)
{
    if (emptied_)
        return;
    if (!serving_ && instance_generation_ != 0 && now >= next_confirmation_)
        return confirm_serving();
    if (probe_path().empty() || !serving_)
        return;
    const std::optional<support::duration> timeout = gate_.start_probe(now);
    if (!timeout)
        return;
    asio::co_spawn(
        strand_,
        [self = shared_from_this(), timeout = *timeout]()
            -> asio::awaitable<void> { co_await self->probe(timeout); },
        asio::detached);
}

/// Measures only whether and how fast the upstream responds: the gate knows the
/// load itself.
asio::awaitable<void> gate_runtime::impl::probe(support::duration timeout)
{
    http::client_request request = probe_request(probe_path());
    const auto response =
        co_await http::fetch(upstream_.endpoint, std::move(request), timeout);
    const bool answered = response && response.value().status == status_ok;
    gate_.on_probe_ended(answered, monotonic_clock::now());
}

void gate_runtime::impl::report_to(telemetry::metrics& metrics,
                                   telemetry::decision_log& decisions)
{
    metrics_ = &metrics;
    gate_.set_decision_log(decisions);
}

void gate_runtime::impl::publish_metrics(support::time_point now)
{
    if (metrics_ == nullptr || now < metrics_due_)
        return;
    metrics_due_ = now + metrics_interval;
    const support::load_report load = gate_.report(now);
    metrics_->set_gauge("galenarudder_gate_running",
                        "Calls that run at the upstream", load.running);
    metrics_->set_gauge("galenarudder_gate_waiting",
                        "Calls that wait at the gate", load.waiting);
    metrics_->set_gauge("galenarudder_gate_limit",
                        "Calls that the gate runs at once", load.limit);
    metrics_->set_gauge("galenarudder_upstream_limit",
                        "Calls per second that the upstream takes; -1 if it "
                        "states no limit",
                        gate_.stated_limit().value_or(-1));
    metrics_->set_gauge("galenarudder_probe_window_share",
                        "Share of the upstream's last 10 s spent on probes",
                        support::to_ms(gate_.probes().spent(now)) /
                            support::to_ms(admission::probe_budget::window));
    if (client_) {
        metrics_->set_gauge("galenarudder_upstream_connections",
                            "Connections open to the upstream",
                            static_cast<double>(client_->open_connections()));
    }
    const admission::gate_counters& counts = gate_.counters();
    const auto add = [this](const char* name, const char* help,
                            std::uint64_t total, std::uint64_t& published) {
        metrics_->add_to_counter(name, help,
                                 static_cast<double>(total - published));
        published = total;
    };
    add("galenarudder_gate_started_total", "Calls sent to the upstream",
        counts.started, published_.started);
    add("galenarudder_gate_refused_deadline_total",
        "Calls refused because their deadline cannot be met",
        counts.refused_deadline, published_.refused_deadline);
    add("galenarudder_gate_refused_overload_total",
        "Calls refused because the queue was full", counts.refused_overload,
        published_.refused_overload);
    add("galenarudder_gate_handed_back_total",
        "Calls handed back to their entries during slow spells",
        counts.handed_back, published_.handed_back);
    add("galenarudder_gate_refused_limit_total",
        "Calls refused because the upstream's limit leaves no room",
        counts.refused_limit, published_.refused_limit);
    add("galenarudder_gate_turned_away_cold_total",
        "Calls handed back or refused while the upstream was cold",
        counts.turned_away_cold, published_.turned_away_cold);
    add("galenarudder_gate_turned_away_late_total",
        "Calls turned away because the cold upstream cannot answer them before "
        "they are late",
        counts.turned_away_late, published_.turned_away_late);
    add("galenarudder_gate_late_observed_total",
        "Calls that cold admission in mode observe let through",
        counts.late_observed, published_.late_observed);
    add("galenarudder_cold_queries_total",
        "Queries whether the upstream has become cold", counts.cold_queries,
        published_.cold_queries);
    metrics_->set_gauge("galenarudder_upstream_cold_seconds",
                        "Time for which the upstream is still cold",
                        support::to_ms(gate_.cold_remaining(now)) / 1000);
    add("galenarudder_gate_shed_observed_total",
        "Calls that shedding in mode observe let through", counts.shed_observed,
        published_.shed_observed);
    publish_turns();
    add("galenarudder_probes_total", "Probes of the upstream",
        gate_.probes().count(), published_probes_);
    const support::duration cost = gate_.probes().total_cost();
    metrics_->add_to_counter(
        "galenarudder_probe_seconds_total", "Time spent on probes",
        std::chrono::duration<double>(cost - published_probe_cost_).count());
    published_probe_cost_ = cost;
}

/// Publishes what turns of organisations decided; nothing where the
/// configuration has no organisations.
void gate_runtime::impl::publish_turns()
{
    if (in_force_->organisations.empty())
        return;
    const admission::turn_statistics& turns = gate_.turns();
    const auto set_decided = [this](const char* effect,
                                    const admission::turn_tally& total) {
        constexpr const char* name = "galenarudder_gate_turns_total";
        constexpr const char* help =
            "Calls started or removed by turns of organisations although "
            "another one was due by arrival";
        metrics_->set_counter(name, help,
                              {{"decision", "start"}, {"effect", effect}},
                              static_cast<double>(total.starts));
        metrics_->set_counter(name, help,
                              {{"decision", "removal"}, {"effect", effect}},
                              static_cast<double>(total.removals));
    };
    set_decided("acted", turns.acted());
    set_decided("observed", turns.observed());
    constexpr double ms_per_s = 1000;
    for (const auto& [organisation, counted] : turns.counts()) {
        const std::vector<telemetry::metric_label> labels = {
            {"organisation", organisation}};
        metrics_->set_counter(
            "galenarudder_organisation_slot_seconds_total",
            "Time for which calls of an organisation used slots of this gate; "
            "organisation is empty for all but the 10 largest",
            labels, counted.slot_ms / ms_per_s);
        metrics_->set_counter(
            "galenarudder_organisation_passed_over_total",
            "Starts at which the first call by arrival was one of the "
            "organisation, but another has its turn; organisation is empty for "
            "all but the 10 largest",
            labels, static_cast<double>(counted.passed_over));
    }
}

/// Returns the gate's load and the time that \p attempt has spent at the gate.
support::load_report
gate_runtime::impl::load_report_of(const open_attempt& attempt) const
{
    const support::time_point now = monotonic_clock::now();
    support::load_report load = gate_.report(now);
    load.time_at_gate_ms = support::to_ms(now - attempt.arrived_at);
    return load;
}

void gate_runtime::impl::execute(const admission::start& action)
{
    const attempt_key key = action.key;
    attempts_.at(key).started_at = monotonic_clock::now();
    const open_attempt attempt = attempts_.at(key);
    const std::weak_ptr<impl> weak = weak_from_this();
    auto load = [weak, key]() -> support::load_report {
        const auto self = weak.lock();
        if (!self)
            return {};
        const auto found = self->attempts_.find(key);
        return found == self->attempts_.end()
                   ? support::load_report{}
                   : self->load_report_of(found->second);
    };
    auto report_result = [weak, key, generation = instance_generation_](
                             upstream_result result, support::duration elapsed,
                             const std::optional<upstream_load>& stated_load) {
        if (const auto self = weak.lock())
            self->on_finished(key, result, elapsed, stated_load, generation);
    };
    auto take_demand = [weak, generation = instance_generation_](
                           const upstream_demand& stated) {
        if (const auto self = weak.lock())
            self->on_demand(stated, generation);
    };
    std::shared_ptr<upstream_call> running =
        client_->run(attempt.exchange, attempt.deadline, std::move(load),
                     std::move(report_result), std::move(take_demand));
    // The attempt may already have ended.
    const auto found = attempts_.find(key);
    if (found != attempts_.end())
        found->second.running_call = std::move(running);
}

void gate_runtime::impl::execute(const admission::refuse& action)
{
    const auto found = attempts_.find(action.key);
    if (found == attempts_.end())
        return;
    refuse(action.key, action.refusal, load_report_of(found->second));
}

void gate_runtime::impl::refuse(const attempt_key& key,
                                const support::refusal& reason,
                                const support::load_report& load)
{
    const auto found = attempts_.find(key);
    const link::exchange_ptr exchange = found->second.exchange;
    attempts_.erase(found);
    telemetry::log_event(telemetry::log_kind::failure, "gate.refused",
                         {{"call", request_id_of(exchange->head, dialect_)},
                          {"kind", to_string(reason.kind)},
                          {"outcome", to_string(reason.outcome)},
                          {"detail", reason.detail},
                          {"rank", exchange->head.rank},
                          {"retry_after_ms", reason.retry_after.count()}});
    exchange->request_body.abort();
    exchange->deliver(link::refused{reason, load});
}

void gate_runtime::impl::execute(const admission::abort_running& action)
{
    const auto found = attempts_.find(action.key);
    if (found != attempts_.end() && found->second.running_call)
        found->second.running_call->abort();
}

void gate_runtime::impl::log_result(
    const attempt_key& key,
    upstream_result result,
    support::duration elapsed,
    const std::optional<upstream_load>& stated_load) const
{
    static constexpr std::string_view names[] = {
        "answered", "failed", "shed", "unreachable", "replaced", "not_sent"};
    const auto found = attempts_.find(key);
    if (found == attempts_.end())
        return;
    const open_attempt& attempt = found->second;
    const bool answered = result == upstream_result::answered;
    const upstream_load load = stated_load.value_or(upstream_load());
    telemetry::log_event(
        answered ? telemetry::log_kind::routine : telemetry::log_kind::failure,
        "gate.ended",
        {{"call", request_id_of(attempt.exchange->head, dialect_)},
         {"how", names[static_cast<std::size_t>(result)]},
         {"rank", attempt.exchange->head.rank},
         {"waited_ms", support::to_ms(attempt.started_at - attempt.arrived_at)},
         {"took_ms", support::to_ms(elapsed)},
         {"instance", upstream_.instance},
         {"stated_running", load.running},
         {"stated_waiting", load.waiting},
         {"stated_slowdown", load.slowdown}});
}

/// The result of a call that an earlier instance ran tells nothing about the
/// present one.
void gate_runtime::impl::on_finished(
    const attempt_key& key,
    upstream_result result,
    support::duration elapsed,
    const std::optional<upstream_load>& stated_load,
    std::uint64_t generation)
{
    const bool is_of_present = generation == instance_generation_;
    log_result(key, result, elapsed, stated_load);
    using admission::run_result;
    static constexpr run_result gate_results[] = {
        run_result::answered, run_result::failed, run_result::shed,
        run_result::failed,   run_result::failed, run_result::failed};
    attempts_.erase(key);
    if (stated_load && is_of_present) {
        perform(gate_.on_slowdown_report(stated_load->slowdown,
                                         monotonic_clock::now()));
        on_cold_stated(stated_load);
    }
    if (is_of_present && result == upstream_result::unreachable)
        stop_serving("no connection could be opened");
    if (is_of_present && result == upstream_result::replaced)
        stop_serving("another instance of the upstream has the address");
    perform(gate_.on_ended(key, gate_results[static_cast<std::size_t>(result)],
                           elapsed, monotonic_clock::now()));
}

/// Applies what a response of the upstream states about further calls. All
/// calls of the upstream start here, so this binds all daemons at once.
void gate_runtime::impl::on_demand(const upstream_demand& stated,
                                   std::uint64_t generation)
{
    if (generation != instance_generation_)
        return;
    if (stated.calls_per_s != gate_.stated_limit()) {
        telemetry::log_event(
            telemetry::log_kind::state_change, "upstream.limit",
            {{"instance", upstream_.instance},
             {"limited", stated.calls_per_s.has_value()},
             {"calls_per_s", stated.calls_per_s.value_or(0.0)}});
        perform(
            gate_.on_limit_stated(stated.calls_per_s, monotonic_clock::now()));
    }
    if (!stated.leaving)
        return;
    upstream_leaving();
    if (on_leaving_stated_)
        on_leaving_stated_(upstream_);
}

void gate_runtime::impl::configure(
    std::shared_ptr<const config::configuration> in_force)
{
    in_force_ = std::move(in_force);
    gate_.on_configuration(in_force_, monotonic_clock::now());
    apply_cold_rate();
}

/// Returns the probe path of the configuration, else that of the announcement.
std::string gate_runtime::impl::probe_path() const
{
    const config::service_policy* service =
        in_force_->find_service(upstream_.service);
    return service != nullptr && !service->probe_path.empty()
               ? service->probe_path
               : upstream_.probe_path;
}

void gate_runtime::impl::set_upstream(upstream_properties upstream)
{
    const bool same_instance = client_ &&
                               upstream_.endpoint == upstream.endpoint &&
                               upstream_.service == upstream.service &&
                               upstream_.instance == upstream.instance &&
                               upstream_.started_ms == upstream.started_ms;
    // Until the new upstream is found to serve, the fleet must not list the
    // service of the one that it replaces.
    if (serving_ && upstream_.service != upstream.service &&
        on_serving_changed_)
        on_serving_changed_(nullptr);
    upstream_ = std::move(upstream);
    if (!same_instance) {
        client_ = std::make_shared<upstream_client>(
            strand_, upstream_.endpoint, upstream_.instance, dialect_);
        ++instance_generation_;
        serving_ = false;
        announcement_count_ = 0;
        first_announced_at_ = monotonic_clock::now();
        perform(gate_.on_upstream_gone(monotonic_clock::now()));
        perform(gate_.on_limit_stated(std::nullopt, monotonic_clock::now()));
        gate_.on_new_instance(monotonic_clock::now());
        apply_cold_rate();
    }
    apply_cold(admission::cold_source::announcement, upstream_.cold);
    ++announcement_count_;
    next_confirmation_ = {};
    if (serving_)
        apply_announcement();
    else
        confirm_serving();
}

/// Returns whether the gate does not open yet because this daemon has no
/// configuration: it states how many calls a cold upstream takes and where to
/// ask whether it is cold. Entries of other daemons may have one already.
bool gate_runtime::impl::awaits_configuration() const
{
    // Longer than upstreams are cold after a start. An upstream whose daemon
    // gets no configuration serves the other daemons after that.
    constexpr std::chrono::seconds max_wait{5};
    const bool is_configured =
        in_force_->version != 0 || !in_force_->services.empty();
    return !is_configured &&
           monotonic_clock::now() - first_announced_at_ < max_wait;
}

/// Checks by a request that an instance of the upstream serves before the first
/// call is sent to it: this daemon may have been started after the upstream
/// announced that it leaves, and an earlier announcement may arrive late. After
/// several announcements the upstream is trusted without a successful check,
/// since the response to the check may be wrong.
void gate_runtime::impl::confirm_serving()
{
    constexpr unsigned trusted_announcements = 3;
    const bool has_instance_ids = !dialect_.instance.empty();
    if (has_instance_ids && awaits_configuration()) {
        announcement_count_ = 0;
        return;
    }
    if (!has_instance_ids || announcement_count_ >= trusted_announcements)
        return apply_announcement();
    if (confirming_ || emptied_ || probe_path().empty())
        return;
    confirming_ = true;
    next_confirmation_ = monotonic_clock::now() + confirmation_interval;
    asio::co_spawn(
        strand_,
        [self = shared_from_this(),
         generation = instance_generation_]() -> asio::awaitable<void> {
            co_await self->check_serving(generation);
        },
        asio::detached);
}

asio::awaitable<void>
gate_runtime::impl::check_serving(std::uint64_t generation)
{
    http::client_request request = probe_request(probe_path());
    const auto response = co_await http::fetch(
        upstream_.endpoint, std::move(request), probe_timeout);
    confirming_ = false;
    if (generation != instance_generation_ || serving_)
        co_return;
    const bool serving =
        response && response.value().status == status_ok &&
        http::field_or_empty(response.value().fields, dialect_.instance) ==
            upstream_.instance;
    if (!serving)
        co_return;
    // States whether an upstream that has just started is cold, before the
    // first call is sent to it.
    support::response_head head;
    for (const http::field& field : response.value().fields)
        head.fields.push_back({field.name, field.value});
    on_cold_stated(load_of_instance(head, upstream_.instance, dialect_));
    apply_announcement();
}

void gate_runtime::impl::apply_connections()
{
    const config::service_policy* service =
        in_force_->find_service(upstream_.service);
    const bool has_configured_limit =
        service != nullptr && service->connections != 0;
    const std::uint32_t max_connections =
        has_configured_limit ? service->connections : upstream_.max_connections;
    const std::size_t wanted_connections = upstream_.slots + spare_connections;
    const std::size_t connections =
        std::min<std::size_t>(wanted_connections, max_connections);
    // An emptied domain gets no calls, so that open connections would only be
    // billed.
    const bool warms = upstream_.warm_connections && !emptied_;
    client_->set_max_connections(connections, warms ? connections : 0);
}

/// Allows calls to be sent to the upstream, with the connections and slots that
/// it stated; called again at every later announcement.
void gate_runtime::impl::apply_announcement()
{
    const bool newly_serving = !serving_;
    serving_ = true;
    apply_connections();
    perform(
        gate_.on_upstream_announced(upstream_.slots, monotonic_clock::now()));
    if (newly_serving && on_serving_changed_)
        on_serving_changed_(&upstream_);
}

/// Sends no further calls to an upstream that cannot be reached or was replaced
/// at its address, and checks it again until it serves.
void gate_runtime::impl::stop_serving(std::string_view cause)
{
    if (!serving_ || dialect_.instance.empty())
        return;
    telemetry::log_event(telemetry::log_kind::state_change,
                         "upstream.not_served",
                         {{"instance", upstream_.instance}, {"cause", cause}});
    serving_ = false;
    announcement_count_ = 0;
    next_confirmation_ = monotonic_clock::now() + confirmation_interval;
    perform(gate_.on_upstream_gone(monotonic_clock::now()));
    if (on_serving_changed_)
        on_serving_changed_(nullptr);
}

void gate_runtime::impl::upstream_leaving()
{
    serving_ = false;
    ++instance_generation_;
    next_confirmation_ = support::time_point::max();
    perform(gate_.on_upstream_leaving(monotonic_clock::now()));
}

void gate_runtime::impl::upstream_gone()
{
    serving_ = false;
    ++instance_generation_;
    next_confirmation_ = support::time_point::max();
    perform(gate_.on_upstream_gone(monotonic_clock::now()));
}

/// While the domain is emptied, the upstream is neither probed nor checked, and
/// no connections are opened before calls need them. Its announcements count,
/// so that it serves at once when it is taken back.
void gate_runtime::impl::set_emptied(bool emptied)
{
    emptied_ = emptied;
    if (serving_)
        apply_connections();
    perform(gate_.set_emptied(emptied, monotonic_clock::now()));
}

void gate_runtime::impl::drain(std::function<void()> on_drained)
{
    on_drained_ = std::move(on_drained);
    perform(gate_.drain(monotonic_clock::now()));
}

void gate_runtime::impl::check_drained()
{
    if (!on_drained_ || gate_.has_running())
        return;
    const std::function<void()> on_drained = std::move(on_drained_);
    on_drained_ = nullptr;
    on_drained();
}

gate_runtime::gate_runtime(
    asio::io_context& io,
    std::shared_ptr<const config::configuration> in_force,
    const http_dialect& dialect)
    : impl_(std::make_shared<impl>(io, std::move(in_force), dialect))
{
    impl_->on_strand([](impl& self) { self.tick(); });
}

gate_runtime::~gate_runtime() = default;

void gate_runtime::submit(link::exchange_ptr attempt)
{
    submit_from(own_entry_link, std::move(attempt));
}

void gate_runtime::cancel(link::exchange_ptr attempt)
{
    cancel_from(own_entry_link, attempt->head.id);
}

void gate_runtime::submit_from(std::uint64_t link, link::exchange_ptr attempt)
{
    impl_->on_strand([link, attempt = std::move(attempt)](impl& self) {
        self.submit(link, attempt);
    });
}

void gate_runtime::cancel_from(std::uint64_t link, support::attempt_id id)
{
    impl_->on_strand([link, id](impl& self) { self.cancel({link, id}); });
}

void gate_runtime::link_closed(std::uint64_t link)
{
    impl_->on_strand([link](impl& self) { self.link_closed(link); });
}

void gate_runtime::configure(
    std::shared_ptr<const config::configuration> in_force)
{
    impl_->on_strand([in_force = std::move(in_force)](impl& self) mutable {
        self.configure(std::move(in_force));
    });
}

void gate_runtime::set_upstream(upstream_properties upstream)
{
    impl_->on_strand([upstream = std::move(upstream)](impl& self) mutable {
        self.set_upstream(std::move(upstream));
    });
}

void gate_runtime::on_serving_changed(serving_handler on_changed)
{
    impl_->on_strand([on_changed = std::move(on_changed)](impl& self) mutable {
        self.set_serving_handler(std::move(on_changed));
    });
}

void gate_runtime::on_leaving_stated(
    std::function<void(const upstream_properties& upstream)> on_leaving)
{
    impl_->on_strand([on_leaving = std::move(on_leaving)](impl& self) mutable {
        self.set_leaving_handler(std::move(on_leaving));
    });
}

void gate_runtime::upstream_leaving()
{
    impl_->on_strand([](impl& self) { self.upstream_leaving(); });
}

void gate_runtime::report_to(telemetry::metrics& metrics,
                             telemetry::decision_log& decisions)
{
    impl_->on_strand([&metrics, &decisions](impl& self) {
        self.report_to(metrics, decisions);
    });
}

void gate_runtime::upstream_gone()
{
    impl_->on_strand([](impl& self) { self.upstream_gone(); });
}

void gate_runtime::set_emptied(bool emptied)
{
    impl_->on_strand([emptied](impl& self) { self.set_emptied(emptied); });
}

std::size_t gate_runtime::running() const
{
    return impl_->running();
}

void gate_runtime::drain(std::function<void()> on_drained)
{
    impl_->on_strand([on_drained = std::move(on_drained)](impl& self) mutable {
        self.drain(std::move(on_drained));
    });
}

} // namespace galenarudder::proxy
