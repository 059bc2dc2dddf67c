// Connects the parts of the daemon. Control events run on one strand; calls run
// on all threads.
#include "galenarudder/daemon/runtime.hpp"

#include "collect_metrics.hpp"

#include "galenarudder/daemon/introducer_runtime.hpp"
#include "galenarudder/daemon/membership_metrics.hpp"
#include "galenarudder/daemon/node.hpp"
#include "galenarudder/daemon/node_report.hpp"
#include "galenarudder/daemon/operator_port.hpp"
#include "galenarudder/daemon/rollout_runtime.hpp"
#include "galenarudder/daemon/settings_reload.hpp"
#include "galenarudder/daemon/store_call_report.hpp"
#include "galenarudder/http/server.hpp"
#include "galenarudder/link/link_manager.hpp"
#include "galenarudder/proxy/caller_server.hpp"
#include "galenarudder/proxy/entry.hpp"
#include "galenarudder/proxy/gate_runtime.hpp"
#include "galenarudder/proxy/organisation_limits.hpp"
#include "galenarudder/telemetry/log.hpp"
#include "galenarudder/telemetry/metrics.hpp"
#include "galenarudder/telemetry/turn_monitor.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <random>
#include <thread>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using asio::ip::udp;
using support::monotonic_clock;
using telemetry::log_kind;
using turn = telemetry::turn_monitor::turn;

namespace {

constexpr auto use_awaitable_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_datagram_bytes = 64 * 1024;
/// An upstream is considered gone after this many heartbeat intervals without
/// an announcement.
constexpr int max_missed_heartbeats = 4;
constexpr unsigned status_ok = 200;
constexpr unsigned status_service_unavailable = 503;
constexpr unsigned status_not_found = 404;
/// Time for the update that this daemon has left to spread before it stops.
constexpr auto stop_delay = std::chrono::milliseconds(500);
/// The stop is postponed by up to this many further delays while outcomes of
/// calls with an idempotency key are still being written to the store.
constexpr unsigned max_stop_checks = 4;
/// Time before the end of stop_timeout by which calls must end: enough for
/// their answers, stop_delay and the closing of the links.
constexpr auto stop_margin = std::chrono::milliseconds(900);

std::uint64_t wall_clock_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// Returns a random text that is unique to this start of the daemon.
std::string unique_start_id()
{
    std::random_device random;
    const std::uint64_t high = random();
    return std::to_string((high << 32) | random());
}

} // namespace

class runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(config::daemon_settings settings, integration deployment);

    support::result<void> start();
    void run();

private:
    support::result<void> open_gossip();
    asio::awaitable<void> receive_datagrams();
    void tick();
    void execute_all(const std::vector<node_action>& actions);
    void execute(const membership::send_datagram& datagram);
    /// Forwards the actions of the rollout.
    template <typename Action>
    void execute(const Action& action)
    {
        rollout_runtime_.execute(action);
    }
    void execute(const configure_gate& action);
    void execute(const set_gate_emptied& action);
    void on_announcement(const upstream_announcement& received);
    void on_presence_change(admission::presence_change change,
                            const std::string& cause);
    void on_serving_changed(std::optional<proxy::upstream_properties> upstream);
    support::result<void> open_readiness();
    bool is_ready() const;
    void on_settings_applied();
    void publish_own_upstream();
    // A stop runs in this order: drain() on a signal, the leave notice, the
    // drains of the gate and of the callers' connections in parallel, leave(),
    // and the end of the I/O context once outcomes are stored.
    void drain(std::string_view asked_by);
    support::time_point latest_deadline() const;
    void drain_callers();
    void start_gate_drain(std::string_view asked_by);
    void await_sent_responses();
    void leave_if_drained();
    void leave();
    void stop_when_outcomes_stored(unsigned checks_left);
    void collect_metrics();
    void open_organisation_limits();
    void tick_organisation_limits();
    std::shared_ptr<link::gate_interface>
    gate_of(const routing::choice& target);
    link::link_handlers make_link_handlers();
    announcement_handlers make_announcement_handlers();
    store::domain_observer make_domain_observer();
    rollout_runtime::action_executor make_action_executor();
    operator_handlers make_operator_handlers();
    template <typename Task>
    void run_on_control(Task task)
    {
        asio::dispatch(control_,
                       [self = shared_from_this(),
                        task = std::move(task)]() mutable { task(*self); });
    }

    config::daemon_settings settings_;
    integration deployment_;
    asio::io_context io_;
    /// Runs what would keep the event loop too long.
    asio::thread_pool background_{1};
    asio::strand<asio::io_context::executor_type> control_;
    node node_;
    telemetry::metrics metrics_;
    telemetry::turn_monitor turns_;
    std::shared_ptr<proxy::gate_runtime> gate_;
    proxy::entry entry_;
    std::unique_ptr<link::link_manager> link_manager_;
    proxy::caller_server caller_server_;
    admission::upstream_presence presence_;
    support::rcu_cell<expected_upstream> expected_upstream_{
        std::make_shared<const expected_upstream>()};
    std::unique_ptr<announcement_listener> announcement_listener_;
    std::unique_ptr<http::server> readiness_;
    std::unique_ptr<operator_port> operator_port_;
    std::unique_ptr<store::platform_store> store_;
    store_call_report store_calls_;
    std::shared_ptr<proxy::keyed_calls> keyed_calls_;
    std::shared_ptr<proxy::organisation_limits> organisation_limits_;
    /// The value of node::member_changes that the limits have seen.
    std::uint64_t seen_member_changes_ = 0;
    rollout_runtime rollout_runtime_;
    introducer_runtime introducer_runtime_;
    udp::socket gossip_;
    asio::steady_timer timer_;
    asio::steady_timer leave_timer_;
    asio::signal_set signals_;
    settings_reload settings_reload_;
    /// The gate is draining or drained: it refuses new calls.
    bool draining_ = false;
    /// The gate has no calls left, and the links have its responses.
    bool gate_drained_ = false;
    /// SIGTERM or SIGINT was received: the daemon stops once the gate and the
    /// callers' connections are drained.
    std::atomic<bool> stopping_ = false;
    bool callers_drained_ = false;
};

runtime::impl::impl(config::daemon_settings settings, integration deployment)
    : settings_(std::move(settings)), deployment_(std::move(deployment)),
      io_(static_cast<int>(settings_.threads)),
      control_(asio::make_strand(io_)), node_(settings_,
                                              wall_clock_ms(),
                                              std::random_device{}(),
                                              deployment_.read_configuration),
      gate_(std::make_shared<proxy::gate_runtime>(
          io_,
          std::make_shared<const config::configuration>(
              config::default_configuration()),
          *deployment_.dialect)),
      entry_(
          node_.router(),
          node_.configuration(),
          metrics_,
          [this](const routing::choice& target) { return gate_of(target); },
          *deployment_.dialect),
      caller_server_(io_, entry_),
      presence_(max_missed_heartbeats * settings_.heartbeat),
      store_(deployment_.open_store(
          control_, background_.get_executor(), settings_)),
      rollout_runtime_(control_,
                       background_.get_executor(),
                       *store_,
                       node_,
                       settings_,
                       turns_,
                       make_action_executor()),
      introducer_runtime_(control_,
                          *store_,
                          node_,
                          settings_.join_settling,
                          std::random_device{}()),
      gossip_(control_), timer_(control_), leave_timer_(control_),
      signals_(control_, SIGTERM, SIGINT),
      settings_reload_(control_, deployment_.settings_path, settings_, [this] {
          on_settings_applied();
      })
{
}

std::shared_ptr<link::gate_interface>
runtime::impl::gate_of(const routing::choice& target)
{
    if (target.member == settings_.member)
        return gate_;
    return link_manager_->gate_of(target.member, target.link_endpoint);
}

link::link_handlers runtime::impl::make_link_handlers()
{
    link::link_handlers handlers;
    handlers.call_received = [gate = gate_](link::connection_id connection,
                                            link::exchange_ptr attempt) {
        gate->submit_from(connection, std::move(attempt));
    };
    handlers.call_canceled = [gate = gate_](link::connection_id connection,
                                            support::attempt_id id) {
        gate->cancel_from(connection, id);
    };
    handlers.link_closed = [gate = gate_](link::connection_id connection) {
        gate->link_closed(connection);
    };
    handlers.gate_draining =
        [weak = weak_from_this()](const support::member_id& member) {
            if (const auto self = weak.lock())
                self->node_.router().on_gate_draining(member,
                                                      monotonic_clock::now());
        };
    return handlers;
}

announcement_handlers runtime::impl::make_announcement_handlers()
{
    announcement_handlers handlers;
    handlers.announced =
        [weak = weak_from_this()](const upstream_announcement& received) {
            const auto self = weak.lock();
            if (self)
                self->run_on_control([received](impl& runtime_impl) {
                    runtime_impl.on_announcement(received);
                });
        };
    handlers.leaving =
        [weak = weak_from_this()](const std::string& instance,
                                  std::optional<std::uint64_t> started_ms) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->run_on_control([instance, started_ms](impl& runtime_impl) {
                runtime_impl.on_presence_change(
                    runtime_impl.presence_.on_leave(instance, started_ms,
                                                    monotonic_clock::now()),
                    "the upstream " + instance + " is stopping");
            });
        };
    handlers.gone = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->run_on_control([](impl& runtime_impl) {
            telemetry::log_event(log_kind::state_change, "upstream.gone", {});
            runtime_impl.presence_.on_absent();
            runtime_impl.gate_->upstream_gone();
            runtime_impl.execute_all(
                runtime_impl.node_.on_upstream_gone(monotonic_clock::now()));
        });
    };
    handlers.drain = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self)
            self->run_on_control(
                [](impl& runtime_impl) { runtime_impl.drain("upstream"); });
    };
    handlers.expected = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self ? *self->expected_upstream_.read() : expected_upstream();
    };
    return handlers;
}

void runtime::impl::on_announcement(const upstream_announcement& received)
{
    const auto change =
        presence_.on_announcement(received.content, monotonic_clock::now());
    on_presence_change(change, "announcement " +
                                   std::to_string(received.content.sequence) +
                                   " of " + received.content.instance);
    if (!presence_.serves() || change == admission::presence_change::stale)
        return;
    proxy::upstream_properties upstream;
    upstream.endpoint = received.content.address;
    upstream.service = received.content.service;
    upstream.slots = received.content.slots;
    upstream.max_connections = received.connections == 0
                                   ? received.content.slots * 2
                                   : received.connections;
    upstream.probe_path = received.probe_path;
    upstream.instance = received.content.instance;
    upstream.started_ms = received.content.started_ms;
    upstream.warm_connections = deployment_.warm_connections;
    upstream.cold = received.content.warm_up_remaining;
    entry_.set_upstream_address(received.content.address.address);
    gate_->set_upstream(std::move(upstream));
}

void runtime::impl::on_presence_change(admission::presence_change change,
                                       const std::string& cause)
{
    using admission::presence_change;
    static constexpr std::string_view change_names[] = {
        "none", "stale", "arrived", "left", "lapsed"};
    if (change == presence_change::none)
        return;
    const admission::announcement* last_announcement =
        presence_.last_announcement();
    telemetry::log_event(
        log_kind::state_change, "upstream.presence",
        {{"change", change_names[static_cast<std::size_t>(change)]},
         {"cause", cause},
         {"instance", last_announcement == nullptr
                          ? std::string()
                          : last_announcement->instance},
         {"sequence",
          last_announcement == nullptr ? 0 : last_announcement->sequence}});
    const bool upstream_ended =
        change == presence_change::left || change == presence_change::lapsed;
    if (!upstream_ended)
        return;
    if (change == presence_change::left)
        gate_->upstream_leaving();
    else
        gate_->upstream_gone();
    execute_all(node_.on_upstream_gone(monotonic_clock::now()));
}

/// Called when the gate has found that it can send calls to \p upstream, or,
/// with an empty \p upstream, that it can send none.
void runtime::impl::on_serving_changed(
    std::optional<proxy::upstream_properties> upstream)
{
    if (!upstream) {
        execute_all(node_.on_upstream_gone(monotonic_clock::now()));
        return;
    }
    telemetry::log_event(log_kind::state_change, "upstream.serves",
                         {{"instance", upstream->instance},
                          {"service", upstream->service},
                          {"slots", upstream->slots}});
    // The gate's finding may be older than the last announcement.
    const admission::announcement* last = presence_.last_announcement();
    const bool is_current = presence_.serves() && last != nullptr &&
                            last->instance == upstream->instance &&
                            last->started_ms == upstream->started_ms &&
                            last->service == upstream->service;
    if (is_current) {
        execute_all(node_.on_announcement(upstream->service, upstream->slots,
                                          monotonic_clock::now()));
    }
}

rollout_runtime::action_executor runtime::impl::make_action_executor()
{
    return [this](const std::vector<node_action>& actions) {
        const auto self = weak_from_this().lock();
        if (self)
            self->execute_all(actions);
    };
}

operator_handlers runtime::impl::make_operator_handlers()
{
    operator_handlers handlers;
    handlers.executor = control_;
    handlers.background = background_.get_executor();
    handlers.collect_metrics = [this] {
        const turn measured(turns_, "metrics");
        set_metrics(metrics_, node_.member());
        set_metrics(metrics_, store_->counters());
        collect_metrics();
        return render_node_metrics(node_, turns_.longest_delay(),
                                   monotonic_clock::now());
    };
    handlers.render_metrics = [this] { return metrics_.render(); };
    handlers.node = &node_;
    handlers.settings = &settings_;
    handlers.drain = [this] { drain("operator"); };
    handlers.running_calls = [gate = gate_] { return gate->running(); };
    handlers.transfer = [this](const std::string& encoded,
                               const std::string& sender) {
        const turn measured(turns_, "transfer");
        execute_all(node_.on_rollout_event(&rollout::rollout::on_transfer,
                                           monotonic_clock::now(), encoded,
                                           sender));
    };
    return handlers;
}

support::result<void> runtime::impl::start()
{
    gate_->report_to(metrics_, node_.decisions());
    if (settings_.empty_domains) {
        // Until the node knows which domains are emptied.
        gate_->set_emptied(true);
        store_->observe_domains(make_domain_observer());
    }
    keyed_calls_ = std::make_shared<proxy::keyed_calls>(
        control_, *store_, metrics_,
        settings_.member + "-" + unique_start_id());
    entry_.set_keyed_calls(keyed_calls_);
    open_organisation_limits();
    link_manager_ = std::make_unique<link::link_manager>(
        io_, settings_.member, settings_.keys, make_link_handlers());
    publish_own_upstream();
    entry_.set_own_address(settings_.callers.address);
    gate_->on_serving_changed(
        [this](const proxy::upstream_properties* upstream) {
            std::optional<proxy::upstream_properties> facts;
            if (upstream != nullptr)
                facts = *upstream;
            run_on_control([facts = std::move(facts)](impl& runtime_impl) {
                runtime_impl.on_serving_changed(facts);
            });
        });
    gate_->on_leaving_stated([this](
                                 const proxy::upstream_properties& upstream) {
        run_on_control([instance = upstream.instance,
                        started_ms = upstream.started_ms](impl& runtime_impl) {
            runtime_impl.on_presence_change(
                runtime_impl.presence_.on_leave(instance, started_ms,
                                                monotonic_clock::now()),
                "the upstream " + instance + " states that it leaves");
        });
    });
    announcement_listener_ = deployment_.open_announcement_listener(
        io_, settings_, make_announcement_handlers());
    operator_port_ =
        std::make_unique<operator_port>(io_, make_operator_handlers());
    BOOST_OUTCOME_TRYV(link_manager_->listen(settings_.link));
    BOOST_OUTCOME_TRYV(open_gossip());
    BOOST_OUTCOME_TRYV(announcement_listener_->listen(settings_.announcements));
    BOOST_OUTCOME_TRYV(operator_port_->listen(settings_.operators));
    BOOST_OUTCOME_TRYV(caller_server_.listen(settings_.callers));
    BOOST_OUTCOME_TRYV(open_readiness());
    asio::co_spawn(
        control_,
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->receive_datagrams();
        },
        asio::detached);
    signals_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled, int) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->drain("signal");
        });
    settings_reload_.start();
    run_on_control([](impl& self) {
        self.introducer_runtime_.start();
        self.tick();
    });
    return boost::outcome_v2::success();
}

void runtime::impl::open_organisation_limits()
{
    using proxy::organisation_limits;
    proxy::limits_context context;
    context.control = control_;
    context.in_force = &node_.configuration();
    context.metrics = &metrics_;
    context.decisions = &node_.decisions();
    context.send = [this](const support::member_id& to, std::string payload) {
        execute_all(node_.send_extension(to, organisation_limits::topic,
                                         std::move(payload),
                                         monotonic_clock::now()));
    };
    std::random_device random;
    const std::uint64_t seed = (std::uint64_t{random()} << 32) | random();
    organisation_limits_ = std::make_shared<organisation_limits>(
        std::move(context), settings_.member,
        settings_.introducers.empty()
            ? organisations::peer_expectation::searched
            : organisations::peer_expectation::certain,
        organisations::tolerance{settings_.organisation_window,
                                 settings_.organisation_overrun_share,
                                 settings_.organisation_overrun_calls},
        seed);
    entry_.set_organisation_limits(organisation_limits_);
    node_.set_extension_handler(
        organisation_limits::topic,
        [limits = organisation_limits_](
            const support::member_id& peer, const std::string& payload,
            support::time_point) -> std::vector<node_action> {
            limits->on_message(peer, payload);
            return {};
        });
}

void runtime::impl::tick_organisation_limits()
{
    if (seen_member_changes_ != node_.member_changes()) {
        seen_member_changes_ = node_.member_changes();
        organisation_limits_->on_members(node_.member().records());
    }
    organisation_limits_->on_tick();
}

support::result<void> runtime::impl::open_readiness()
{
    if (!settings_.readiness)
        return boost::outcome_v2::success();
    readiness_ = std::make_unique<http::server>(
        io_,
        [this](http::request http_request) -> asio::awaitable<http::response> {
            http::response http_response;
            http_response.status =
                is_ready() ? status_ok : status_service_unavailable;
            if (http_request.path != deployment_.readiness_path)
                http_response.status = status_not_found;
            co_return http_response;
        });
    return readiness_->listen(*settings_.readiness);
}

/// Returns whether callers may be sent to this daemon: a configuration to route
/// calls is in force, and the daemon is not stopping.
bool runtime::impl::is_ready() const
{
    return !stopping_ && node_.configuration().read()->version != 0;
}

support::result<void> runtime::impl::open_gossip()
{
    boost::system::error_code failure;
    const udp::endpoint local(asio::ip::make_address(settings_.gossip.address),
                              settings_.gossip.port);
    gossip_.open(local.protocol(), failure);
    if (!failure)
        gossip_.bind(local, failure);
    if (!failure)
        return boost::outcome_v2::success();
    return support::error{support::error_kind::connection_failed,
                          "cannot bind " + to_string(settings_.gossip) + ": " +
                              failure.message(),
                          "free the port or change gossip in the settings"};
}

asio::awaitable<void> runtime::impl::receive_datagrams()
{
    std::string buffer(max_datagram_bytes, '\0');
    for (;;) {
        udp::endpoint sender_address;
        const auto [failure, size] = co_await gossip_.async_receive_from(
            asio::buffer(buffer), sender_address, use_awaitable_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
            continue;
        const turn measured(turns_, "datagram");
        const config::endpoint sender{sender_address.address().to_string(),
                                      sender_address.port()};
        execute_all(node_.on_datagram(sender,
                                      std::string_view(buffer).substr(0, size),
                                      monotonic_clock::now()));
    }
}

void runtime::impl::tick()
{
    const turn measured(turns_, "tick");
    execute_all(node_.on_tick(monotonic_clock::now()));
    on_presence_change(presence_.on_tick(monotonic_clock::now()),
                       "no announcement was received in time");
    store_calls_.on_tick(store_->counters().by_purpose, monotonic_clock::now());
    tick_organisation_limits();
    settings_reload_.on_tick(monotonic_clock::now());
    telemetry::flush_log();
    timer_.expires_after(membership::member::tick_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (!self || canceled)
                return;
            self->turns_.on_timer(
                support::time_point(self->timer_.expiry().time_since_epoch()),
                monotonic_clock::now());
            self->tick();
        });
}

void runtime::impl::execute_all(const std::vector<node_action>& actions)
{
    for (const node_action& action : actions)
        std::visit([this](const auto& typed_action) { execute(typed_action); },
                   action);
}

void runtime::impl::execute(const membership::send_datagram& datagram)
{
    const udp::endpoint destination(asio::ip::make_address(datagram.to.address),
                                    datagram.to.port);
    boost::system::error_code ignored;
    gossip_.send_to(asio::buffer(datagram.payload), destination, 0, ignored);
}

void runtime::impl::execute(const configure_gate& action)
{
    const auto& in_force = action.in_force;
    telemetry::log_event(log_kind::state_change, "configuration.in_force",
                         {{"version", in_force->version},
                          {"services", in_force->services.size()},
                          {"host_routes", in_force->host_routes.size()},
                          {"source", to_string(action.timing.source)},
                          {"fetch_ms", support::to_ms(action.timing.fetch)},
                          {"wait_ms", support::to_ms(action.timing.wait)},
                          {"build_ms", support::to_ms(action.timing.build)}});
    gate_->configure(in_force);
    organisation_limits_->configure(*in_force);
    keyed_calls_->set_retention(
        support::from_ms(in_force->value(config::limit::claim_retention_ms)));
}

void runtime::impl::execute(const set_gate_emptied& action)
{
    gate_->set_emptied(action.emptied);
}

/// Forwards what the store states about emptied domains to the node.
store::domain_observer runtime::impl::make_domain_observer()
{
    const auto to_revision = [](const store::change_index& index) {
        return membership::store_revision{index.era, index.number};
    };
    store::domain_observer observer;
    observer.on_reading =
        [weak = weak_from_this(),
         to_revision](const std::vector<store::emptied_domain_key>& keys,
                      const store::change_index& read_at) {
            const auto self = weak.lock();
            if (!self)
                return;
            std::vector<membership::emptied_domain> emptied;
            emptied.reserve(keys.size());
            for (const store::emptied_domain_key& key : keys)
                emptied.push_back({key.domain, to_revision(key.index)});
            self->execute_all(self->node_.on_domains_read(
                emptied, to_revision(read_at), monotonic_clock::now()));
        };
    observer.on_change = [weak = weak_from_this(),
                          to_revision](const std::string& domain, bool emptied,
                                       const store::change_index& index) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->execute_all(self->node_.on_domain_changed(
            domain, emptied, to_revision(index), monotonic_clock::now()));
    };
    return observer;
}

/// Publishes what other threads read of the settings that a reload changes.
void runtime::impl::publish_own_upstream()
{
    expected_upstream_.replace(std::make_shared<const expected_upstream>(
        expected_upstream{settings_.service, settings_.upstream}));
    entry_.set_own_service(settings_.service);
}

void runtime::impl::on_settings_applied()
{
    presence_.set_lapse_after(max_missed_heartbeats * settings_.heartbeat);
    publish_own_upstream();
}

/// Starts a drain. A drain requested by an operator or by the upstream stops
/// only the gate; a later signal still stops the daemon. After a signal the
/// gate accepts calls until the leave notice is over, since the upstream still
/// serves calls and its slots would be idle otherwise.
void runtime::impl::drain(std::string_view asked_by)
{
    if (asked_by != "signal") {
        if (!draining_)
            start_gate_drain(asked_by);
        return;
    }
    if (stopping_)
        return;
    stopping_ = true;
    telemetry::log_event(
        log_kind::state_change, "daemon.stopping",
        {{"asked_by", asked_by}, {"open_calls", caller_server_.open_calls()}});
    execute_all(node_.on_stopping(monotonic_clock::now()));
    caller_server_.begin_drain(latest_deadline());
    leave_timer_.expires_after(settings_.leave_notice);
    leave_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (!self || canceled)
                return;
            if (!self->draining_)
                self->start_gate_drain("signal");
            self->drain_callers();
        });
}

/// Returns when calls must end so that the daemon, which stops from now on,
/// ends within the time that the deployment allows.
support::time_point runtime::impl::latest_deadline() const
{
    if (settings_.stop_timeout == support::milliseconds(0))
        return support::time_point::max();
    return monotonic_clock::now() + settings_.stop_timeout - stop_margin;
}

void runtime::impl::drain_callers()
{
    caller_server_.drain([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->run_on_control([](impl& runtime_impl) {
            runtime_impl.callers_drained_ = true;
            runtime_impl.leave_if_drained();
        });
    });
}

void runtime::impl::start_gate_drain(std::string_view asked_by)
{
    draining_ = true;
    gate_drained_ = false;
    telemetry::log_event(log_kind::state_change, "gate.draining",
                         {{"asked_by", asked_by}});
    execute_all(node_.on_drain(monotonic_clock::now()));
    link_manager_->announce_drain();
    gate_->drain([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->run_on_control(
            [](impl& runtime_impl) { runtime_impl.await_sent_responses(); });
    });
}

/// Called when the gate has no calls left. The links may still hold the ends of
/// its responses, for callers at other daemons that read slowly.
void runtime::impl::await_sent_responses()
{
    link_manager_->when_responses_sent([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->run_on_control([](impl& runtime_impl) {
            telemetry::log_event(log_kind::state_change, "gate.drained", {});
            runtime_impl.gate_drained_ = true;
            runtime_impl.leave_if_drained();
        });
    });
}

void runtime::impl::leave_if_drained()
{
    if (stopping_ && gate_drained_ && callers_drained_)
        leave();
}

void runtime::impl::leave()
{
    telemetry::log_event(log_kind::state_change, "daemon.left", {});
    store_calls_.finish(store_->counters().by_purpose);
    execute_all(node_.on_left(monotonic_clock::now()));
    stop_when_outcomes_stored(max_stop_checks);
}

void runtime::impl::stop_when_outcomes_stored(unsigned checks_left)
{
    timer_.expires_after(stop_delay);
    timer_.async_wait(
        [self = shared_from_this(), checks_left](boost::system::error_code) {
            if (self->keyed_calls_->pending() && checks_left > 0) {
                self->stop_when_outcomes_stored(checks_left - 1);
                return;
            }
            self->link_manager_->stop();
            self->io_.stop();
        });
}

void runtime::impl::collect_metrics()
{
    collect(node_, metrics_);
    collect(link_manager_->counters(), metrics_);
    turns_.collect(metrics_);
    organisation_limits_->collect_metrics();
    settings_reload_.collect(metrics_);
    metrics_.set_gauge("galenarudder_emptied_domains",
                       "Failure domains that operators have emptied",
                       static_cast<double>(node_.domains().emptied().size()));
    metrics_.set_gauge("galenarudder_open_calls",
                       "Calls read and not yet answered",
                       static_cast<double>(caller_server_.open_calls()));
}

void runtime::impl::run()
{
    std::vector<std::thread> workers;
    for (unsigned count = 1; count < settings_.threads; ++count)
        workers.emplace_back([this] { io_.run(); });
    io_.run();
    for (std::thread& worker : workers)
        worker.join();
    background_.stop();
    background_.join();
}

runtime::runtime(config::daemon_settings settings, integration deployment)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(deployment)))
{
}

runtime::~runtime() = default;

support::result<void> runtime::start()
{
    return impl_->start();
}

void runtime::run()
{
    impl_->run();
}

} // namespace galenarudder::daemon
