// The links of entry and gate share one WebSocket endpoint. All state is
// accessed on one strand, to which the endpoint's thread posts its events.
#include "galenarudder/link/link_manager.hpp"

#include "entry_links.hpp"
#include "gate_links.hpp"

#include <boost/asio/post.hpp>

#include <chrono>
#include <random>

namespace galenarudder::link {

namespace asio = boost::asio;
using support::member_id;
using support::monotonic_clock;

namespace {

/// Returns an epoch from the wall clock, so that epochs also increase when the
/// daemon restarts.
std::uint64_t first_epoch()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

} // namespace

class link_manager::impl
    : public std::enable_shared_from_this<link_manager::impl>
{
public:
    impl(asio::io_context& io, link_identity identity, link_handlers handlers)
        : strand_(asio::make_strand(io)), identity_(std::move(identity)),
          handlers_(std::move(handlers)), timer_(strand_)
    {
    }

    void open();
    void tick();

    template <typename Function>
    void on_strand(Function function)
    {
        asio::post(strand_, [weak = weak_from_this(),
                             function = std::move(function)]() mutable {
            if (const auto self = weak.lock())
                function(*self);
        });
    }

    websocket_endpoint& endpoint() { return *endpoint_; }
    entry_links& get_entry_links() { return *entry_links_; }
    gate_links& get_gate_links() { return *gate_links_; }
    const link_counters& counters() const { return counters_; }

private:
    websocket_handlers endpoint_events();
    void on_received(connection_id connection,
                     bool inbound,
                     const std::string& payload);

    link_strand strand_;
    link_identity identity_;
    link_handlers handlers_;
    link_counters counters_;
    asio::steady_timer timer_;
    support::time_point last_tick_{};
    std::shared_ptr<websocket_endpoint> endpoint_;
    std::shared_ptr<entry_links> entry_links_;
    std::shared_ptr<gate_links> gate_links_;
};

websocket_handlers link_manager::impl::endpoint_events()
{
    // Capturing this is safe: the endpoint ends its thread before this object
    // is destroyed.
    websocket_handlers events;
    events.opened = [this](connection_id connection, bool inbound) {
        on_strand([=](impl& self) {
            if (inbound)
                self.gate_links_->on_opened(connection, monotonic_clock::now());
            else
                self.entry_links_->on_opened(connection);
        });
    };
    events.received = [this](connection_id connection, bool inbound,
                             std::string payload) {
        on_strand(
            [connection, inbound, payload = std::move(payload)](impl& self) {
                self.on_received(connection, inbound, payload);
            });
    };
    events.closed = [this](connection_id connection, bool inbound) {
        on_strand([=](impl& self) {
            if (inbound)
                self.gate_links_->on_closed(connection);
            else
                self.entry_links_->on_closed(connection,
                                             monotonic_clock::now());
        });
    };
    return events;
}

void link_manager::impl::open()
{
    endpoint_ = std::make_shared<websocket_endpoint>(endpoint_events());
    const auto context = std::make_shared<const link_context>(
        link_context{strand_, endpoint_, std::move(identity_),
                     std::move(handlers_), &counters_});
    entry_links_ = std::make_shared<entry_links>(context, first_epoch(),
                                                 std::random_device{}());
    gate_links_ = std::make_shared<gate_links>(context);
    on_strand([](impl& self) {
        self.last_tick_ = monotonic_clock::now();
        self.tick();
    });
}

void link_manager::impl::on_received(connection_id connection,
                                     bool inbound,
                                     const std::string& payload)
{
    support::result<message> decoded = decode(payload);
    message* received = decoded ? &decoded.value() : nullptr;
    const support::time_point now = monotonic_clock::now();
    if (inbound)
        gate_links_->on_message(connection, received, now);
    else
        entry_links_->on_message(connection, received, now);
}

void link_manager::impl::tick()
{
    const support::time_point now = monotonic_clock::now();
    const support::duration elapsed = now - last_tick_;
    last_tick_ = now;
    // This process was suspended. Messages that peers sent meanwhile have not
    // been read yet, so the peers must not time out.
    if (elapsed > receive_timeout / 2) {
        entry_links_->on_pause(elapsed);
        gate_links_->on_pause(elapsed);
    }
    entry_links_->on_tick(now);
    gate_links_->on_tick(now);
    timer_.expires_after(timeout_check_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->tick();
        });
}

namespace {

/// The gate of another daemon, which is reached over a link.
class remote_gate final : public gate_interface
{
public:
    remote_gate(std::function<void(exchange_ptr)> submit,
                std::function<void(exchange_ptr)> cancel)
        : submit_(std::move(submit)), cancel_(std::move(cancel))
    {
    }
    void submit(exchange_ptr attempt) override { submit_(std::move(attempt)); }
    void cancel(exchange_ptr attempt) override { cancel_(std::move(attempt)); }

private:
    std::function<void(exchange_ptr)> submit_;
    std::function<void(exchange_ptr)> cancel_;
};

} // namespace

link_manager::link_manager(asio::io_context& io,
                           member_id member,
                           std::vector<config::shared_key> keys,
                           link_handlers handlers)
    : impl_(std::make_shared<impl>(
          io,
          link_identity{std::move(member), std::move(keys)},
          std::move(handlers)))
{
    impl_->open();
}

link_manager::~link_manager()
{
    stop();
}

support::result<void> link_manager::listen(const config::endpoint& local)
{
    const std::string failure =
        impl_->endpoint().listen(local.address, local.port);
    if (failure.empty())
        return boost::outcome_v2::success();
    return support::error{support::error_kind::connection_failed,
                          "link cannot listen on " + to_string(local) + ": " +
                              failure,
                          "free the port or change link in the settings"};
}

std::shared_ptr<gate_interface>
link_manager::gate_of(const member_id& member, const config::endpoint& remote)
{
    auto submit = [shared_impl = impl_, member, remote](exchange_ptr attempt) {
        shared_impl->on_strand(
            [member, remote, attempt = std::move(attempt)](auto& self) mutable {
                self.get_entry_links().submit(
                    member, remote, std::move(attempt), monotonic_clock::now());
            });
    };
    auto cancel = [shared_impl = impl_, member](exchange_ptr attempt) {
        shared_impl->on_strand(
            [member, attempt = std::move(attempt)](auto& self) {
                self.get_entry_links().cancel(member, attempt);
            });
    };
    return std::make_shared<remote_gate>(std::move(submit), std::move(cancel));
}

void link_manager::announce_drain()
{
    impl_->on_strand(
        [](auto& self) { self.get_gate_links().announce_drain(); });
}

void link_manager::announce_ready()
{
    impl_->on_strand(
        [](auto& self) { self.get_gate_links().announce_ready(); });
}

void link_manager::when_responses_sent(std::function<void()> handler)
{
    impl_->on_strand([handler = std::move(handler)](auto& self) mutable {
        self.get_gate_links().when_responses_sent(std::move(handler));
    });
}

void link_manager::stop()
{
    impl_->endpoint().stop();
}

const link_counters& link_manager::counters() const
{
    return impl_->counters();
}

} // namespace galenarudder::link
