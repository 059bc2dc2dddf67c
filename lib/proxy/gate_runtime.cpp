// Executes the gate's actions.
#include "galenarudder/proxy/gate_runtime.hpp"

#include "galenarudder/http/client.hpp"
#include "galenarudder/proxy/upstream_client.hpp"
#include "galenarudder/telemetry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <map>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using admission::attempt_key;
using support::monotonic_clock;

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);
constexpr auto idle_tick_interval = std::chrono::milliseconds(50);
/// A measurement of the upstream's speed that takes longer is of no use.
constexpr support::milliseconds measure_timeout{100};
/// Connections kept beyond the slots, so that one may be renewed.
constexpr std::uint32_t spare_connections = 2;
constexpr std::uint64_t own_entry_link = 0;
constexpr auto metrics_interval = std::chrono::seconds(1);
constexpr unsigned status_ok = 200;
/// An upstream that did not say that it serves is asked again after this.
constexpr support::milliseconds question_interval{250};
constexpr support::milliseconds probe_timeout{1000};

http::client_request probe_request(const std::string& path)
{
    return {"GET", path, "", {}};
}

} // namespace

class gate_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(asio::io_context& io,
         const config::configuration& in_force,
         const http_dialect& dialect)
        : strand_(asio::make_strand(io)), timer_(strand_), gate_(in_force),
          dialect_(dialect), in_force_(in_force)
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
    void perform(const std::vector<admission::action>& actions);
    void configure(const config::configuration& in_force);
    void set_upstream(upstream_facts upstream);
    void confirm();
    void upstream_leaving();
    void upstream_gone();
    void report_to(telemetry::metrics& metrics,
                   telemetry::decision_log& decisions);
    void drain(std::function<void()> drained);
    void check_drained();

    void tell_changes(serving_handler changed)
    {
        changed_ = std::move(changed);
    }
    admission::gate& machine() { return gate_; }

private:
    struct open_attempt
    {
        link::exchange_ptr exchange;
        support::time_point deadline;
        std::shared_ptr<upstream_call> running;
        support::time_point arrived{};
        support::time_point started{};
    };

    support::load_report report_on(const open_attempt& attempt) const;
    void execute(const admission::start& begun);
    void execute(const admission::refuse& ended);
    void execute(const admission::abort_running& aborted);
    void measure_speed();
    void arm();
    void finished(const attempt_key& key,
                  upstream_result how,
                  support::duration took,
                  const std::optional<upstream_load>& stated);
    void log_end(const attempt_key& key,
                 upstream_result how,
                 support::duration took,
                 const std::optional<upstream_load>& stated) const;
    void begin_serving();
    void stop_serving(std::string_view why);
    std::string probe_path() const;
    asio::awaitable<void> ask_whether_serving(std::uint64_t life);
    void probe_if_due(support::time_point now);
    asio::awaitable<void> probe(support::duration allowed);
    void publish_metrics(support::time_point now);

    asio::strand<asio::io_context::executor_type> strand_;
    asio::steady_timer timer_;
    admission::gate gate_;
    const http_dialect& dialect_;
    config::configuration in_force_;
    upstream_facts upstream_;
    /// Counts the lives of the upstream, so that what belongs to an earlier
    /// one is told apart.
    std::uint64_t life_ = 0;
    bool serving_ = false;
    bool asking_ = false;
    /// Whether the timer ticks often.
    bool eager_ = false;
    unsigned announced_ = 0;
    support::time_point next_question_{};
    std::shared_ptr<upstream_client> client_;
    std::map<attempt_key, open_attempt> attempts_;
    std::function<void()> drained_;
    serving_handler changed_;
    telemetry::metrics* metrics_ = nullptr;
    support::time_point metrics_due_;
    admission::gate_counts published_;
    std::uint64_t published_probes_ = 0;
    support::duration published_probe_cost_{};
};

void gate_runtime::impl::tick()
{
    const support::time_point now = monotonic_clock::now();
    perform(gate_.on_tick(now));
    probe_if_due(now);
    publish_metrics(now);
    arm();
}

/// Ticks often only while calls wait to begin.
void gate_runtime::impl::arm()
{
    eager_ = gate_.has_waiting();
    timer_.expires_after(eager_ ? tick_interval : idle_tick_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->tick();
        });
}

void gate_runtime::impl::measure_speed()
{
    if (!client_ || probe_path().empty()) {
        perform(gate_.on_speed(std::nullopt, monotonic_clock::now()));
        return;
    }
    client_->measure(probe_path(), measure_timeout,
                     [weak = weak_from_this(), life = life_](
                         const std::optional<upstream_load>& stated) {
                         const auto self = weak.lock();
                         if (!self || self->life_ != life)
                             return;
                         std::optional<double> slowdown;
                         if (stated)
                             slowdown = stated->slowdown;
                         self->perform(self->gate_.on_speed(
                             slowdown, monotonic_clock::now()));
                     });
}

void gate_runtime::impl::submit(std::uint64_t link, link::exchange_ptr attempt)
{
    const support::time_point now = monotonic_clock::now();
    const attempt_key key{link, attempt->head.id};
    const support::time_point deadline = now + attempt->head.remaining;
    admission::attempt arrived{key, attempt->head.rank, deadline,
                               attempt->head.repeatable, attempt->head.movable};
    attempts_[key] = {std::move(attempt), deadline, nullptr, now, {}};
    perform(gate_.offer(arrived, now));
}

void gate_runtime::impl::perform(const std::vector<admission::action>& actions)
{
    for (const admission::action& next : actions)
        std::visit([this](const auto& what) { execute(what); }, next);
    if (gate_.take_speed_question(monotonic_clock::now()))
        measure_speed();
    if (!eager_ && gate_.has_waiting())
        arm();
    check_drained();
}

void gate_runtime::impl::probe_if_due(support::time_point now)
{
    if (!serving_ && life_ != 0 && now >= next_question_)
        return confirm();
    if (probe_path().empty() || !serving_)
        return;
    const std::optional<support::duration> allowed = gate_.start_probe(now);
    if (!allowed)
        return;
    asio::co_spawn(
        strand_,
        [self = shared_from_this(), allowed = *allowed]()
            -> asio::awaitable<void> { co_await self->probe(allowed); },
        asio::detached);
}

/// Only the time until the answer is of use: the gate knows the load itself.
asio::awaitable<void> gate_runtime::impl::probe(support::duration allowed)
{
    http::client_request request = probe_request(probe_path());
    const auto answer =
        co_await http::fetch(upstream_.where, std::move(request), allowed);
    const bool answered = answer && answer.value().status == status_ok;
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
    metrics_->set("galenarudder_gate_running", "Calls that run at the upstream",
                  load.running);
    metrics_->set("galenarudder_gate_waiting", "Calls that wait at the gate",
                  load.waiting);
    metrics_->set("galenarudder_gate_limit", "Calls that the gate runs at once",
                  load.limit);
    metrics_->set("galenarudder_probe_window_share",
                  "Share of the upstream's last 10 s spent on probes",
                  support::to_ms(gate_.probes().spent(now)) /
                      support::to_ms(admission::probe_budget::window));
    if (client_) {
        metrics_->set("galenarudder_upstream_connections",
                      "Connections open to the upstream",
                      static_cast<double>(client_->open_connections()));
    }
    const admission::gate_counts& counts = gate_.counts();
    const auto add = [this](const char* name, const char* help,
                            std::uint64_t total, std::uint64_t& published) {
        metrics_->add(name, help, static_cast<double>(total - published));
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
    add("galenarudder_gate_shed_observed_total",
        "Calls that shedding in mode observe let through", counts.observed,
        published_.observed);
    add("galenarudder_probes_total", "Probes of the upstream",
        gate_.probes().count(), published_probes_);
    const support::duration cost = gate_.probes().total_cost();
    metrics_->add(
        "galenarudder_probe_seconds_total", "Time spent on probes",
        std::chrono::duration<double>(cost - published_probe_cost_).count());
    published_probe_cost_ = cost;
}

/// The load together with what \p attempt has spent here so far.
support::load_report
gate_runtime::impl::report_on(const open_attempt& attempt) const
{
    const support::time_point now = monotonic_clock::now();
    support::load_report load = gate_.report(now);
    load.held_ms = support::to_ms(now - attempt.arrived);
    return load;
}

void gate_runtime::impl::execute(const admission::start& begun)
{
    const attempt_key key = begun.key;
    attempts_.at(key).started = monotonic_clock::now();
    const open_attempt attempt = attempts_.at(key);
    const std::weak_ptr<impl> weak = weak_from_this();
    auto load = [weak, key]() -> support::load_report {
        const auto self = weak.lock();
        if (!self)
            return {};
        const auto found = self->attempts_.find(key);
        return found == self->attempts_.end() ? support::load_report{}
                                              : self->report_on(found->second);
    };
    auto done = [weak, key](upstream_result how, support::duration took,
                            const std::optional<upstream_load>& stated) {
        if (const auto self = weak.lock())
            self->finished(key, how, took, stated);
    };
    std::shared_ptr<upstream_call> running = client_->run(
        attempt.exchange, attempt.deadline, std::move(load), std::move(done));
    // The attempt may have ended already.
    const auto found = attempts_.find(key);
    if (found != attempts_.end())
        found->second.running = std::move(running);
}

void gate_runtime::impl::execute(const admission::refuse& ended)
{
    const auto found = attempts_.find(ended.key);
    if (found == attempts_.end())
        return;
    const link::exchange_ptr exchange = found->second.exchange;
    const support::load_report load = report_on(found->second);
    attempts_.erase(found);
    telemetry::log_event(telemetry::log_kind::failure, "gate.refused",
                         {{"call", name_of_call(exchange->head, dialect_)},
                          {"kind", to_string(ended.why.kind)},
                          {"outcome", to_string(ended.why.outcome)},
                          {"detail", ended.why.detail},
                          {"rank", exchange->head.rank},
                          {"retry_after_ms", ended.why.retry_after.count()}});
    exchange->request.cut();
    exchange->deliver(link::refused{ended.why, load});
}

void gate_runtime::impl::execute(const admission::abort_running& aborted)
{
    const auto found = attempts_.find(aborted.key);
    if (found != attempts_.end() && found->second.running)
        found->second.running->abort();
}

void gate_runtime::impl::log_end(
    const attempt_key& key,
    upstream_result how,
    support::duration took,
    const std::optional<upstream_load>& stated) const
{
    static constexpr std::string_view names[] = {
        "answered", "failed", "shed", "unreachable", "replaced", "not_sent"};
    const auto found = attempts_.find(key);
    if (found == attempts_.end())
        return;
    const open_attempt& ended = found->second;
    const bool answered = how == upstream_result::answered;
    const upstream_load load = stated.value_or(upstream_load());
    telemetry::log_event(
        answered ? telemetry::log_kind::routine : telemetry::log_kind::failure,
        "gate.ended",
        {{"call", name_of_call(ended.exchange->head, dialect_)},
         {"how", names[static_cast<std::size_t>(how)]},
         {"rank", ended.exchange->head.rank},
         {"waited_ms", support::to_ms(ended.started - ended.arrived)},
         {"took_ms", support::to_ms(took)},
         {"instance", upstream_.instance},
         {"stated_running", load.running},
         {"stated_waiting", load.waiting},
         {"stated_slowdown", load.slowdown}});
}

void gate_runtime::impl::finished(const attempt_key& key,
                                  upstream_result how,
                                  support::duration took,
                                  const std::optional<upstream_load>& stated)
{
    log_end(key, how, took, stated);
    using admission::run_result;
    static constexpr run_result results[] = {
        run_result::answered, run_result::failed, run_result::shed,
        run_result::failed,   run_result::failed, run_result::failed};
    attempts_.erase(key);
    if (stated)
        perform(gate_.on_speed(stated->slowdown, monotonic_clock::now()));
    if (how == upstream_result::unreachable)
        stop_serving("no connection could be opened");
    if (how == upstream_result::replaced)
        stop_serving("another life of the upstream has the address");
    perform(gate_.on_ended(key, results[static_cast<std::size_t>(how)], took,
                           monotonic_clock::now()));
}

void gate_runtime::impl::configure(const config::configuration& in_force)
{
    in_force_ = in_force;
    gate_.on_configuration(in_force, monotonic_clock::now());
}

/// Where the configuration, or else the upstream, says that it is probed.
std::string gate_runtime::impl::probe_path() const
{
    const config::service_policy* service =
        in_force_.find_service(upstream_.service);
    return service != nullptr && !service->probe_path.empty()
               ? service->probe_path
               : upstream_.probe_path;
}

void gate_runtime::impl::set_upstream(upstream_facts upstream)
{
    const bool same_life = client_ && upstream_.where == upstream.where &&
                           upstream_.instance == upstream.instance &&
                           upstream_.born_ms == upstream.born_ms;
    upstream_ = std::move(upstream);
    if (!same_life) {
        client_ = std::make_shared<upstream_client>(
            strand_, upstream_.where, upstream_.instance, dialect_);
        ++life_;
        serving_ = false;
        announced_ = 0;
        perform(gate_.on_upstream_gone(monotonic_clock::now()));
    }
    ++announced_;
    next_question_ = {};
    if (serving_)
        begin_serving();
    else
        confirm();
}

/// Before the first call to a life of the upstream it is asked whether it
/// serves: this daemon may have been started after the upstream said that it
/// leaves, and an earlier check-in may arrive late. An upstream that keeps
/// announcing itself is believed in the end, since its answer may be wrong.
void gate_runtime::impl::confirm()
{
    constexpr unsigned enough_announcements = 3;
    const bool names_lives = !dialect_.instance.empty();
    if (!names_lives || announced_ >= enough_announcements)
        return begin_serving();
    if (asking_ || probe_path().empty())
        return;
    asking_ = true;
    next_question_ = monotonic_clock::now() + question_interval;
    asio::co_spawn(
        strand_,
        [self = shared_from_this(), life = life_]() -> asio::awaitable<void> {
            co_await self->ask_whether_serving(life);
        },
        asio::detached);
}

asio::awaitable<void>
gate_runtime::impl::ask_whether_serving(std::uint64_t life)
{
    http::client_request request = probe_request(probe_path());
    const auto answer = co_await http::fetch(upstream_.where,
                                             std::move(request), probe_timeout);
    asking_ = false;
    if (life != life_ || serving_)
        co_return;
    const bool serves =
        answer && answer.value().status == status_ok &&
        http::field_or_empty(answer.value().fields, dialect_.instance) ==
            upstream_.instance;
    if (serves)
        begin_serving();
}

void gate_runtime::impl::begin_serving()
{
    const bool begins = !serving_;
    serving_ = true;
    const config::service_policy* service =
        in_force_.find_service(upstream_.service);
    const bool bounded = service != nullptr && service->connections != 0;
    const std::uint32_t most =
        bounded ? service->connections : upstream_.connections;
    const std::size_t wanted = upstream_.slots + spare_connections;
    const std::size_t kept = std::min<std::size_t>(wanted, most);
    client_->set_max_connections(kept, upstream_.warm_connections ? kept : 0);
    perform(gate_.on_upstream(upstream_.slots, monotonic_clock::now()));
    if (begins && changed_)
        changed_(&upstream_);
}

/// The upstream cannot be reached; it is asked again until it serves.
void gate_runtime::impl::stop_serving(std::string_view why)
{
    if (!serving_ || dialect_.instance.empty())
        return;
    telemetry::log_event(telemetry::log_kind::belief, "upstream.not_served",
                         {{"instance", upstream_.instance}, {"cause", why}});
    serving_ = false;
    announced_ = 0;
    next_question_ = monotonic_clock::now() + question_interval;
    perform(gate_.on_upstream_gone(monotonic_clock::now()));
    if (changed_)
        changed_(nullptr);
}

void gate_runtime::impl::upstream_leaving()
{
    serving_ = false;
    ++life_;
    next_question_ = support::time_point::max();
    perform(gate_.on_upstream_leaving(monotonic_clock::now()));
}

void gate_runtime::impl::upstream_gone()
{
    serving_ = false;
    ++life_;
    next_question_ = support::time_point::max();
    perform(gate_.on_upstream_gone(monotonic_clock::now()));
}

void gate_runtime::impl::drain(std::function<void()> drained)
{
    drained_ = std::move(drained);
    perform(gate_.drain(monotonic_clock::now()));
}

void gate_runtime::impl::check_drained()
{
    if (!drained_ || gate_.busy())
        return;
    const std::function<void()> drained = std::move(drained_);
    drained_ = nullptr;
    drained();
}

gate_runtime::gate_runtime(asio::io_context& io,
                           const config::configuration& in_force,
                           const http_dialect& dialect)
    : impl_(std::make_shared<impl>(io, in_force, dialect))
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

void gate_runtime::cancel_from(std::uint64_t link, support::call_id id)
{
    impl_->on_strand([link, id](impl& self) {
        self.perform(self.machine().cancel({link, id}, monotonic_clock::now()));
    });
}

void gate_runtime::link_closed(std::uint64_t link)
{
    impl_->on_strand([link](impl& self) {
        self.perform(
            self.machine().on_link_closed(link, monotonic_clock::now()));
    });
}

void gate_runtime::configure(const config::configuration& in_force)
{
    impl_->on_strand([in_force](impl& self) { self.configure(in_force); });
}

void gate_runtime::set_upstream(upstream_facts upstream)
{
    impl_->on_strand([upstream = std::move(upstream)](impl& self) mutable {
        self.set_upstream(std::move(upstream));
    });
}

void gate_runtime::on_serving_changed(serving_handler changed)
{
    impl_->on_strand([changed = std::move(changed)](impl& self) mutable {
        self.tell_changes(std::move(changed));
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

void gate_runtime::drain(std::function<void()> drained)
{
    impl_->on_strand([drained = std::move(drained)](impl& self) mutable {
        self.drain(std::move(drained));
    });
}

} // namespace galenarudder::proxy
